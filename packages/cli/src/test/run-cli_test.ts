import assert from 'node:assert/strict';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { EXIT_CODES, runCli } from '../index.js';

/** An address without a listener: port 1 is never assigned. */
const UNUSED_ADDRESS = '127.0.0.1:1';

const EXAMPLE = new URL('../../../../examples/demo.json', import.meta.url).pathname;

test('the exit code tells success, refusal, wrong usage and unreachable nodes apart', async () => {
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
    [['why', 'no-task', '--nodes', UNUSED_ADDRESS], 'usage'],
    [['tasks'], 'usage'],
    [['trace', '--summary', `--file=${empty}`], 'usage'],
    [['trace', '--summary', `--file=${join(dir, 'missing.log')}`], 'usage'],
    [['trace', '0123456789abcdef', '--summary', `--file=${empty}`], 'usage'],
    [['trace', `--file=${empty}`], 'usage'],
    [['publish', EXAMPLE, '--nodes', UNUSED_ADDRESS, '--wait-ms=soon'], 'usage'],
    [['frobnicate'], 'usage'],
    [['tasks', '--nodes', UNUSED_ADDRESS], 'unreachable'],
    [['status', '--nodes', UNUSED_ADDRESS], 'unreachable'],
    [['waves', '--nodes', UNUSED_ADDRESS], 'unreachable'],
    [
      ['publish', EXAMPLE, '--nodes', UNUSED_ADDRESS, '--log-url', `http://${UNUSED_ADDRESS}`],
      'unreachable',
    ],
  ];
  for (const [argv, expected] of cases) {
    assert.equal(await runCli(argv), EXIT_CODES[expected], argv.join(' '));
  }
});
