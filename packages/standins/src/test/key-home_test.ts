import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import http from 'node:http';
import { AdminClient } from '@redwingcrank/cli';
import { keyHome } from '@redwingcrank/decisions';
import type { DemoNode, DemoPlatform } from '../index.js';
import { waitFor } from '../index.js';
import { WAIT_MS, runningPlatform } from './running-platform.js';

const SERVICE_MS = 300;

let platform: DemoPlatform;

before(async () => {
  platform = await runningPlatform({ leaseMs: 5_000, serviceMs: SERVICE_MS });
});

after(async () => {
  await platform.stop();
});

interface HoldResult {
  readonly status: number | undefined;
  readonly outcome: string | undefined;
  readonly body: string;
}

/** Sends a hold; the status is undefined if the connection was lost. */
async function hold(node: DemoNode, key: string): Promise<HoldResult> {
  const init = { method: 'POST', body: key, headers: { 'idempotency-key': key } };
  try {
    const res = await fetch(`${platform.callerUrl(node)}/booking/hold`, init);
    const body = await res.text();
    const outcome = res.ok ? undefined : (JSON.parse(body) as { outcome: string }).outcome;
    return { status: res.status, outcome, body };
  } catch {
    return { status: undefined, outcome: undefined, body: '' };
  }
}

/** Returns the number of runs of a key on all endpoints. */
async function runsOf(key: string): Promise<number> {
  const counts = await Promise.all(
    platform.workers.map(async ({ faultPort }) => {
      const res = await fetch(`http://127.0.0.1:${faultPort}/runs`);
      return ((await res.json()) as Record<string, number>)[key] ?? 0;
    }),
  );
  return counts.reduce((a, b) => a + b, 0);
}

/** Generates keys whose home, among all entry hosts, is the node. */
function* keysOf(node: DemoNode, prefix: string): Generator<string> {
  for (let i = 0; ; i += 1) {
    const key = `${prefix}-${i}`;
    if (keyHome(key, platform.nodes) === node.nodeId) yield key;
  }
}

function takeKeys(keys: Generator<string>, count: number): string[] {
  return Array.from({ length: count }, () => String(keys.next().value));
}

function fourNodes(): [DemoNode, DemoNode, DemoNode, DemoNode] {
  return platform.nodes as [DemoNode, DemoNode, DemoNode, DemoNode];
}

test('a key that is sent to every entry host runs once, and all callers get its answer', async () => {
  // Callers time out and retry a hold through other entry hosts, two of them in another data
  // centre, while the first request is still running. The key must run once, and every caller must
  // get the answer of that run.
  const key = 'everywhere';
  const results = await Promise.all(platform.nodes.map((node) => hold(node, key)));
  for (const { status, body } of results) {
    assert.equal(status, 200);
    assert.equal((JSON.parse(body) as { echo: string }).echo, key);
  }
  assert.equal(await runsOf(key), 1);
});

test('while the home of a key is frozen, retries get the outcome unknown and the key runs only once', async () => {
  // The home is frozen (SIGSTOP) while it runs holds, and callers retry them through another host.
  // No other host can know whether the home ran a key, so retries get the outcome `unknown` and the
  // key must not run elsewhere. After SIGCONT the home still knows the keys: it ran each of them
  // once and answers the retries.
  const [home, other] = fourNodes();
  const keys = takeKeys(keysOf(home, 'frozen'), 6);
  const first = keys.map((key) => hold(other, key));
  await waitFor('every key to run once', WAIT_MS, async () => {
    const runs = await Promise.all(keys.map(runsOf));
    return runs.every((count) => count === 1);
  });
  home.child.process.kill('SIGSTOP');
  try {
    for (const { outcome } of await Promise.all(keys.map((key) => hold(other, key)))) {
      assert.equal(outcome, 'unknown');
    }
    // When the home counts as silent, its keys are refused immediately and still run nowhere else.
    await waitFor('the home to count as silent', WAIT_MS, async () => {
      const results = await Promise.all(keys.map((key) => hold(other, key)));
      return results.every(({ body }) => body.includes('"code":312'));
    });
    for (const key of keys) assert.equal(await runsOf(key), 1);
  } finally {
    home.child.process.kill('SIGCONT');
  }
  await Promise.all(first);
  await waitFor('the home to answer again', WAIT_MS, async () => {
    const results = await Promise.all(keys.map((key) => hold(other, key)));
    return results.every(({ status }) => status === 200 || status === 502);
  });
  for (const key of keys) assert.equal(await runsOf(key), 1);
});

test('keys of a killed home run nowhere else, even after the home restarts without its state', async () => {
  // The home is killed (SIGKILL) while endpoints run its holds, and its state is lost. Callers
  // retry through two other hosts and get `unknown`; no key runs twice. The home restarts under the
  // same node id, finds in the log that it had a predecessor, and therefore must not run a key that
  // it does not know.
  const [, home, other, third] = fourNodes();
  const keys = takeKeys(keysOf(home, 'killed'), 6);
  const first = keys.map((key) => hold(other, key));
  await waitFor('every key to run once', WAIT_MS, async () => {
    const runs = await Promise.all(keys.map(runsOf));
    return runs.every((count) => count === 1);
  });
  home.child.process.kill('SIGKILL');
  for (const { status, outcome } of await Promise.all(first)) {
    assert.ok(status === 200 || outcome === 'unknown', `status ${status}, ${outcome}`);
  }
  for (const node of [other, third]) {
    const results = await Promise.all(keys.map((key) => hold(node, key)));
    assert.ok(results.every(({ outcome }) => outcome === 'unknown'));
  }
  await platform.startNode(home);
  const restartedClient = new AdminClient(`127.0.0.1:${home.adminPort}`);
  await waitFor(
    'the home to be ready',
    WAIT_MS,
    async () => (await restartedClient.status()).state === 'ready',
  );
  for (const node of [home, other]) {
    const results = await Promise.all(keys.map((key) => hold(node, key)));
    assert.ok(results.every(({ outcome }) => outcome === 'unknown'));
  }
  for (const key of keys) assert.equal(await runsOf(key), 1);
});

test('a home that is shut down and restarted still knows its keys and accepts new ones', async () => {
  // Entry hosts are replaced regularly. A node that shuts down hands its keys to peers, and its
  // successor fetches them: a retry gets the outcome `ran`, and new keys run.
  const [other, , home] = fourNodes();
  const keys = keysOf(home, 'handed');
  const knownKeys = takeKeys(keys, 4);
  const results = await Promise.all(knownKeys.map((key) => hold(other, key)));
  assert.ok(results.every(({ status }) => status === 200));
  assert.equal(await platform.launcher.stop(home.child), 0);
  await platform.startNode(home);
  const restartedClient = new AdminClient(`127.0.0.1:${home.adminPort}`);
  await waitFor(
    'the home to be ready',
    WAIT_MS,
    async () => (await restartedClient.status()).state === 'ready',
  );
  const [newKey = ''] = takeKeys(keys, 1);
  await waitFor(
    'a new key to run',
    WAIT_MS,
    async () => (await hold(other, newKey)).status === 200,
  );
  for (const { outcome } of await Promise.all(knownKeys.map((key) => hold(other, key)))) {
    assert.equal(outcome, 'ran');
  }
  for (const key of [...knownKeys, newKey]) assert.equal(await runsOf(key), 1);
});

/** Sends requests one at a time on one connection until an answer has `connection: close`. */
async function keepSending(port: number, agent: http.Agent, done: HoldResult[]): Promise<void> {
  for (let closing = false; !closing;) {
    const { result, last } = await new Promise<{ result: HoldResult; last: boolean }>((resolve) => {
      const lost = { result: { status: undefined, outcome: undefined, body: '' }, last: true };
      const options = { port, agent, path: '/booking/hold', method: 'POST' };
      const req = http.request(options, (res) => {
        let body = '';
        res.on('data', (chunk) => {
          body += String(chunk);
        });
        res.on('error', () => resolve(lost));
        res.on('end', () => {
          resolve({
            result: { status: res.statusCode, outcome: undefined, body },
            last: res.headers.connection === 'close',
          });
        });
      });
      req.on('error', () => resolve(lost));
      req.end('x');
    });
    done.push(result);
    closing = last;
  }
}

test('SIGTERM under load interrupts no request, and the node exits with 0', async () => {
  // Callers with keep-alive connections send holds without a pause while the node gets SIGTERM.
  // Each request in flight must be answered completely, the last answer on each connection must
  // have `connection: close`, and then the node must exit.
  const [, , , node] = fourNodes();
  const callers = Array.from({ length: 8 }, () => {
    const done: HoldResult[] = [];
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    return { done, agent, ended: keepSending(node.callerPort, agent, done) };
  });
  await waitFor('three answers on each connection', WAIT_MS, () =>
    callers.every(({ done }) => done.length >= 3),
  );
  const code = await platform.launcher.stop(node.child);
  await Promise.all(callers.map(({ ended }) => ended));
  callers.forEach(({ agent }) => agent.destroy());
  const results = callers.flatMap(({ done }) => done);
  assert.deepEqual(
    results.filter(({ status }) => status !== 200),
    [],
  );
  assert.equal(code, 0);
});
