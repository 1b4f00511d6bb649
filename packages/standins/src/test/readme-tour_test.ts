import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { test } from 'node:test';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const DEMO = fileURLToPath(new URL('../demo-main.js', import.meta.url));
const EXPORT_COUNT = 4;

/** Starts the demo with --stay and returns the environment variables from its `export` lines. */
async function startDemo() {
  const child = spawn(process.execPath, [DEMO, '--stay'], { stdio: ['ignore', 'pipe', 'inherit'] });
  const env: Record<string, string> = {};
  for await (const line of createInterface({ input: child.stdout })) {
    const [, name, value] = /^export (\w+)=(.*)$/.exec(line) ?? [];
    if (name !== undefined && value !== undefined) env[name] = value;
    if (Object.keys(env).length === EXPORT_COUNT) break;
  }
  return { child, env };
}

test('the commands of the tour in README.md succeed with the documented output', async () => {
  const readme = await readFile(`${ROOT}README.md`, 'utf8');
  const [, tour] = /```sh tour\n([^`]*)```/.exec(readme) ?? [];
  assert.ok(tour);
  const { child, env } = await startDemo();
  try {
    const shell = spawn('bash', ['-euo', 'pipefail', '-c', tour], {
      cwd: ROOT,
      env: { ...process.env, ...env, NO_COLOR: '1' },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let output = '';
    shell.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    const [code] = (await once(shell, 'close')) as [number];
    assert.equal(code, 0, output);
    assert.match(output, /version 1 is in force on 4 nodes/);
    assert.match(output, /refuse +│ giant in dc1 +│ never fits/);
    assert.match(output, /dc1\/giant\/0: unplaced/);
    assert.match(output, /never-fits: no host that the task allows is large enough/);
  } finally {
    child.kill('SIGTERM');
    await once(child, 'exit');
  }
});
