import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import path from 'node:path';
import { test } from 'node:test';

const LOG = path.join(import.meta.dirname, '..', 'node-log.js');

/** Writes lines to a pipe that does not block, then says on standard error how long it took. */
const WRITER = `
import { NodeLog } from ${JSON.stringify(LOG)};
process.stdout._handle?.setBlocking?.(false);
const log = new NodeLog('n1');
const startedMs = performance.now();
for (let i = 0; i < Number(process.argv[1]); i += 1) log.emit('info', 'bound', { i });
process.stderr.write(\`\${performance.now() - startedMs} \${log.dropped}\\n\`);
setTimeout(() => {}, 1500);
`;

async function writeLines(count: number, isRead: boolean) {
  const child = spawn(process.execPath, ['--input-type=module', '-e', WRITER, String(count)]);
  let text = '';
  let told = '';
  child.stderr.on('data', (data: Buffer) => {
    told += data.toString();
  });
  // Read late: by then the pipe is full and writes have been turned away.
  setTimeout(() => {
    if (isRead) child.stdout.on('data', (data: Buffer) => (text += data.toString()));
  }, 300);
  await new Promise((resolve) => {
    child.once('exit', resolve);
    if (!isRead) setTimeout(() => child.kill('SIGKILL'), 1_200);
  });
  const [ms = NaN, dropped = NaN] = told.split(' ').map(Number);
  return { lines: text.split('\n').length - 1, ms, dropped };
}

test('lines that a full pipe turns away are written when it is read again', async () => {
  // The reader is slow for a moment. Lines given up then would be missing from the story of a
  // job, and nothing would say so.
  const { lines, dropped } = await writeLines(3_000, true);
  assert.equal(lines + dropped, 3_000);
  assert.equal(dropped, 0);
});

test('a reader that never reads costs dropped lines, not time', async () => {
  const { ms, dropped } = await writeLines(20_000, false);
  assert.ok(ms < 2_000, `${ms} ms`);
  assert.ok(dropped > 0);
});
