import assert from 'node:assert/strict';
import { execFileSync, spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';

const MAIN = path.join(import.meta.dirname, '..', 'main.js');

test('a command ends without an error message when the reader closes the pipe', () => {
  // `redwingcrank codes | head -1`: the reader closes the pipe while the command still writes.
  const command = `"${process.execPath}" "${MAIN}" codes | head -n 1`;
  const { stdout, stderr } = spawnSync('sh', ['-c', command], { encoding: 'utf8' });
  assert.equal(stdout.split('\n').length, 2);
  assert.equal(stderr, '');
});

test('trace merges the lines of a job from the logs of several nodes in the order of time', () => {
  const directory = mkdtempSync(path.join(tmpdir(), 'redwingcrank-'));
  const first = path.join(directory, 'n1.log');
  const second = path.join(directory, 'n2.log');
  const at = (s: number): string => `at=2026-01-01T00:00:0${s}.000Z level=info`;
  writeFileSync(first, `${at(1)} node=n1 event=submit job=aa outcome=stored\n${at(9)} event=x\n`);
  writeFileSync(second, `${at(4)} node=n2 event=bound task=aa.0.0.0 worker=w1\n`);
  const args = [MAIN, 'trace', 'aa', '--file', first, '--file', second];
  const text = execFileSync(process.execPath, args, { encoding: 'utf8' });
  const lines = text.trim().split('\n');
  assert.equal(lines.length, 3);
  assert.match(lines[0]!, /n1 submit job=aa outcome=stored/);
  assert.match(lines[1]!, /3\.0 s/);
  assert.match(lines[2]!, /n2 bound task=aa\.0\.0\.0 worker=w1/);
  rmSync(directory, { recursive: true });
});
