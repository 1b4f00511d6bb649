import assert from 'node:assert/strict';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { EXIT_CODES, runCli } from '../index.js';

/** No listener is on this port: it is never given out. */
const NOBODY = '127.0.0.1:1';

const EXAMPLE = new URL('../../../../examples/demo.json', import.meta.url).pathname;

test('the exit code tells a script what happened', async () => {
  const dir = await mkdtemp(join(tmpdir(), 'redwingcrank-'));
  const bad = join(dir, 'bad.json');
  await writeFile(bad, '{ "apiVersion": 1');
  const empty = join(dir, 'empty.log');
  await writeFile(empty, '');
  const cases: [string[], keyof typeof EXIT_CODES][] = [
    [['validate', EXAMPLE], 'done'],
    [['codes', '--json'], 'done'],
    [['validate', bad], 'refused'],
    [['validate', join(dir, 'missing.json')], 'refused'],
    [['validate', EXAMPLE, '--colour=red'], 'usage'],
    [['why', 'no-task', '--nodes', NOBODY], 'usage'],
    [['tasks'], 'usage'],
    [['trace', '--summary', `--file=${empty}`], 'usage'],
    [['trace', '--summary', `--file=${join(dir, 'missing.log')}`], 'usage'],
    [['trace', '0123456789abcdef', '--summary', `--file=${empty}`], 'usage'],
    [['trace', `--file=${empty}`], 'usage'],
    [['publish', EXAMPLE, '--nodes', NOBODY, '--wait-ms=soon'], 'usage'],
    [['frobnicate'], 'usage'],
    [['tasks', '--nodes', NOBODY], 'unreachable'],
    [['status', '--nodes', NOBODY], 'unreachable'],
    [['publish', EXAMPLE, '--nodes', NOBODY, '--log-url', `http://${NOBODY}`], 'unreachable'],
  ];
  for (const [argv, expected] of cases) {
    assert.equal(await runCli(argv), EXIT_CODES[expected], argv.join(' '));
  }
});
