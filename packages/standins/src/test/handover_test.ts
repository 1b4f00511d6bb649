import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { DemoNode, DemoPlatform } from '../demo-platform.js';
import { waitFor } from '../wait-for.js';
import { WAIT_MS, check, clientOf, runningPlatform } from './running-platform.js';

const ROUNDS = 3;
const CHECK_INTERVAL_MS = 5;
const MIN_REQUESTS = 50;

let platform: DemoPlatform;

before(async () => {
  // Prevents a claim because of peer silence: only the handover can start the next term in time.
  platform = await runningPlatform({ nodeFlags: ['--peer-silence-ms', '120000'] });
});

after(async () => {
  await platform.stop();
});

const nodesOf = (dataCentre: string): DemoNode[] =>
  platform.nodes.filter((node) => node.dataCentre === dataCentre);

async function holderAndOther(): Promise<[DemoNode, DemoNode]> {
  const [a, b] = nodesOf('dc1');
  assert.ok(a && b);
  const { holder } = await clientOf(a).status();
  return holder?.startsWith(`${a.nodeId}/`) ? [a, b] : [b, a];
}

/** Describes each task's attempt; a lost attempt shows as a failed outcome or as a new attempt. */
async function attemptsOn(node: DemoNode): Promise<string[]> {
  const tasks = await clientOf(node).tasks();
  const isFine = (outcome: string | undefined) => outcome === undefined || outcome === 'completed';
  return tasks
    .map((t) => `${t.taskId}#${t.attempt} ${isFine(t.outcome) ? 'fine' : t.outcome}`)
    .sort();
}

interface Load {
  readonly sends: readonly Promise<number | undefined>[];
  /** Sends further requests only to the other node, as a load balancer would. */
  excludeHolder(): void;
  stop(): Promise<(number | undefined)[]>;
}

function loadOn(holder: DemoNode, other: DemoNode): Load {
  const sends: Promise<number | undefined>[] = [];
  const targets = new Set([holder, other]);
  const timer = setInterval(() => {
    for (const node of targets) sends.push(check(platform, node));
  }, CHECK_INTERVAL_MS);
  return {
    sends,
    excludeHolder: () => targets.delete(holder),
    stop: () => {
      clearInterval(timer);
      return Promise.all(sends);
    },
  };
}

test('a holder that shuts down under load hands over its term without failed requests or expired leases', async () => {
  // The holder of dc1's term gets SIGTERM while both nodes serve requests. Its peer must claim the
  // next term because of the handover, not after peer silence, and renew every lease. Requests in
  // flight must be answered; connections that are refused afterwards are left to the load balancer.
  // Each round shuts down the current holder, so the two nodes alternate.
  for (let round = 1; round <= ROUNDS; round += 1) {
    const [holder, other] = await holderAndOther();
    const { term } = await clientOf(other).status();
    const tasks = await attemptsOn(other);
    const load = loadOn(holder, other);
    await waitFor('enough requests to be sent', WAIT_MS, () => load.sends.length > MIN_REQUESTS);
    const exit = platform.launcher.stop(holder.child);
    load.excludeHolder();
    const startedAt = performance.now();
    await waitFor('the next term to start', WAIT_MS, async () => {
      const status = await clientOf(other).status();
      return status.term > term && status.holder?.startsWith(`${other.nodeId}/`) === true;
    });
    const handoverMs = Math.round(performance.now() - startedAt);
    assert.equal(await exit, 0);
    const statuses = await load.stop();
    assert.deepEqual([...new Set(statuses)], [200], `round ${round}`);
    assert.deepEqual(await attemptsOn(other), tasks);
    process.stdout.write(`# round ${round}: next term after ${handoverMs} ms\n`);
    await platform.startNode(holder);
    await waitFor('the restarted node to be ready', WAIT_MS, async () => {
      const { state } = await clientOf(holder).status();
      return state === 'ready';
    });
  }
});
