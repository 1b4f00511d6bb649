import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import { syncBuiltinESMExports } from 'node:module';
import path from 'node:path';
import { test } from 'node:test';
import { NodeLog } from '../node-log.js';

const LOG = path.join(import.meta.dirname, '..', 'node-log.js');

/** Writes lines to a non-blocking pipe, then prints the time taken and the dropped lines to stderr. */
const WRITER = `
import { NodeLog } from ${JSON.stringify(LOG)};
process.stdout._handle?.setBlocking?.(false);
const log = new NodeLog('n1');
const startedMs = performance.now();
for (let i = 0; i < Number(process.argv[1]); i += 1) log.emit('info', 'bound', { i });
process.stderr.write(\`\${performance.now() - startedMs} \${log.dropped}\\n\`);
setTimeout(() => {}, 1500);
`;

/** Runs the writer in a process of its own, and reads its lines after a while or never. */
async function writeLines(count: number, isRead: boolean) {
  const child = spawn(process.execPath, ['--input-type=module', '-e', WRITER, String(count)]);
  let text = '';
  let report = '';
  child.stderr.on('data', (data: Buffer) => {
    report += data.toString();
  });
  // Reads only after 300 ms: by then the pipe is full and has rejected writes.
  setTimeout(() => {
    if (isRead) child.stdout.on('data', (data: Buffer) => (text += data.toString()));
  }, 300);
  await new Promise((resolve) => {
    child.once('exit', resolve);
    if (!isRead) setTimeout(() => child.kill('SIGKILL'), 1_200);
  });
  const [ms = NaN, dropped = NaN] = report.split(' ').map(Number);
  return { lines: text.split('\n').length - 1, ms, dropped };
}

test('lines that a full pipe rejects are written once it is read again', async () => {
  // Guards against dropping lines while the reader is slow for a moment: they would be missing from
  // the history of a job without a trace.
  const { lines, dropped } = await writeLines(3_000, true);
  assert.equal(lines + dropped, 3_000);
  assert.equal(dropped, 0);
});

test('lines for a reader that never reads are dropped without blocking the process', async () => {
  const { ms, dropped } = await writeLines(20_000, false);
  assert.ok(ms < 2_000, `${ms} ms`);
  assert.ok(dropped > 0);
});

/** The capacity of a pipe, in bytes. */
const PIPE_BYTES = 64 * 1024;

/** Reads a pipe slowly, all that it holds at once, and prints how each piece ended. */
const READER = `
import { readSync } from 'node:fs';
const data = Buffer.alloc(${PIPE_BYTES});
for (;;) {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20);
  const length = readSync(0, data);
  if (length === 0) break;
  const text = data.toString('utf8', 0, length);
  console.log(text.split('\\n').length - 1, JSON.stringify(text.slice(-30)));
}
`;

test('a reader of a pipe that fills never gets a part of a line', async () => {
  // Guards against writes that end within a line: a collector that takes what it reads at once for
  // whole lines records two broken ones.
  const node = `${process.execPath} --input-type=module -e`;
  const command = `${node} "$WRITER" 5000 | ${node} "$READER"`;
  const env = { ...process.env, WRITER, READER };
  const child = spawn('sh', ['-c', command], { env, stdio: ['ignore', 'pipe', 'ignore'] });
  let report = '';
  child.stdout.on('data', (data: Buffer) => {
    report += data.toString();
  });
  await new Promise((resolve) => {
    child.once('close', resolve);
  });
  const pieces = report.trim().split('\n');
  const lineCount = pieces.reduce((sum, piece) => sum + Number(piece.split(' ')[0]), 0);
  assert.equal(lineCount, 5_000);
  assert.deepEqual(
    pieces.filter((piece) => !piece.endsWith('\\n"')),
    [],
  );
});

test('a value with line breaks stays on one line', (t) => {
  // Guards against stack traces that are read as further lines, without event or node.
  const lines: string[] = [];
  t.mock.method(fs, 'write', (_fd: number, data: Buffer, ...args: unknown[]) => {
    lines.push(data.toString());
    (args.at(-1) as (err: null, written: number) => void)(null, data.length);
  });
  syncBuiltinESMExports();
  t.after(() => {
    t.mock.restoreAll();
    syncBuiltinESMExports();
  });
  new NodeLog('n1').emit('error', 'failed', { reason: 'Error: aborted\n    at abort (a.js:1)' });
  return new Promise<void>((resolve) => {
    setImmediate(() => {
      assert.match(lines.join(''), /^at=\S+ level=error .*aborted\\n {4}at abort[^\n]*\n$/);
      resolve();
    });
  });
});
