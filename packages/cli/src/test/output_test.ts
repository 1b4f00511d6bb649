import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Output } from '../index.js';

const COLUMNS = 60;
const ESCAPE = '\u001b[';

function printed(target: { isTTY?: boolean; columns?: number }, env = {}, json = false): string {
  let text = '';
  const write = (part: string): void => {
    text += part;
  };
  const out = new Output(json, { write, ...target }, env);
  const row = { task: `dc1/${'routes'.repeat(10)}/0`, state: 'running', why: 'w'.repeat(50) };
  out.rows(['task', 'state', 'why'], [row]);
  return text;
}

test('a table fits the terminal even if the text of its cells is longer', () => {
  const lines = printed({ isTTY: true, columns: COLUMNS }, { NO_COLOR: '1' }).split('\n');
  assert.ok(
    lines.every((line) => line.length <= COLUMNS),
    lines.join('\n'),
  );
});

test('output to a pipe has every cell in full and no colour', () => {
  const text = printed({});
  assert.ok(text.includes('w'.repeat(50)));
  assert.ok(!text.includes(ESCAPE));
});

test('colour is used only on a terminal, and never with NO_COLOR', () => {
  const terminal = { isTTY: true, columns: COLUMNS };
  assert.ok(printed(terminal).includes(ESCAPE));
  assert.ok(!printed(terminal, { NO_COLOR: '1' }).includes(ESCAPE));
});

test('JSON mode prints nothing but JSON', () => {
  const [row] = JSON.parse(printed({ isTTY: true, columns: 20 }, {}, true)) as { state: string }[];
  assert.equal(row?.state, 'running');
});
