import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { DemoPlatform } from '../index.js';
import { runningPlatform } from './running-platform.js';

const REQUEST_COUNT = 60;

let platform: DemoPlatform;

before(async () => {
  platform = await runningPlatform({ leaseMs: 5_000 });
});

after(async () => {
  await platform.stop();
});

interface Answer {
  readonly status: number | undefined;
  readonly path: string;
  readonly body: string;
}

async function check(nodeIndex: number, i: number): Promise<Answer> {
  const node = platform.nodes[nodeIndex];
  assert.ok(node);
  const path = `/check?window=${i}`;
  try {
    const res = await fetch(`${platform.callerUrl(node)}/booking${path}`);
    return { status: res.status, path, body: await res.text() };
  } catch {
    return { status: undefined, path, body: '' };
  }
}

test('killing an entry host corrupts no answer and does not affect the other entry host', async () => {
  // Callers send requests through two entry hosts of a data centre, and one host is killed while
  // requests are in flight. Callers of the killed host may see a lost connection, but no wrong or
  // partial answer. Callers of the other host see no failure, because entry hosts share no state
  // that a request needs.
  const earlyAnswer = await check(0, 0);
  const sends = Array.from({ length: REQUEST_COUNT }, (_, i) => check(i % 2, i));
  const [victim] = platform.nodes;
  assert.ok(victim);
  victim.child.process.kill('SIGKILL');
  const answers = await Promise.all(sends);
  assert.equal(earlyAnswer.status, 200);
  for (const { status, path, body } of answers) {
    if (status !== undefined) assert.equal((JSON.parse(body) as { path: string }).path, path);
  }
  const survivors = answers.filter((_, i) => i % 2 === 1);
  assert.ok(survivors.every((answer) => answer.status === 200));
  assert.equal((await check(1, REQUEST_COUNT)).status, 200);
});

test('a request to an unknown service gets 404, code 301 and the outcome not-run', async () => {
  const [, node] = platform.nodes;
  assert.ok(node);
  const res = await fetch(`${platform.callerUrl(node)}/nowhere`);
  const problem = (await res.json()) as { code: number; outcome: string };
  assert.deepEqual([res.status, problem.code, problem.outcome], [404, 301, 'not-run']);
});
