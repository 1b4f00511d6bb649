import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { DemoNode, DemoPlatform, DemoWorker } from '../demo-platform.js';
import { waitFor } from '../wait-for.js';
import { WAIT_MS, check, clientOf, runningPlatform } from './running-platform.js';

/** Covers the list's lag of 200 ms, a poll interval of 1 s, and delays on a busy machine. */
const ROUTING_STOP_LIMIT_MS = 4_000;
const OBSERVATION_MS = 2_000;
const CHECK_INTERVAL_MS = 10;

const LEASE_MS = 4_000;

let platform: DemoPlatform;

before(async () => {
  platform = await runningPlatform({ leaseMs: LEASE_MS });
});

after(async () => {
  await platform.stop();
});

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

function node(i: number): DemoNode {
  const found = platform.nodes[i];
  assert.ok(found);
  return found;
}

/** Returns the number of requests that the endpoints of a worker have run. */
async function runsOn(worker: DemoWorker): Promise<number> {
  const res = await fetch(`http://127.0.0.1:${worker.faultPort}/runs`);
  const runs = (await res.json()) as Record<string, number>;
  return Object.values(runs).reduce((sum, count) => sum + count, 0);
}

/** Sends checks through a node at a fixed interval until `stop` is called. */
function load(through: DemoNode): { stop(): Promise<(number | undefined)[]> } {
  const sends: Promise<number | undefined>[] = [];
  const timer = setInterval(() => sends.push(check(platform, through)), CHECK_INTERVAL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      return Promise.all(sends);
    },
  };
}

async function runningTasks(through: DemoNode): Promise<string[]> {
  const tasks = await clientOf(through).tasks();
  const live = tasks.filter((t) => t.kind === 'service' && t.state === 'running');
  return live.map((t) => `${t.taskId}@${t.hostId}`).sort();
}

test('services keep running and checks succeed while the log is silent for two lease durations', async () => {
  // The log accepts connections and never answers, so no decision can be written and no task may
  // move. Nodes renew leases directly with the workers and route requests from memory. A scheduler
  // that had to write to the log for a renewal would lose every task after one lease.
  const running = await runningTasks(node(0));
  await platform.setFaults(platform.logFaultUrl, { freeze: true });
  const checks = load(node(0));
  await sleep(2 * LEASE_MS);
  const statuses = await checks.stop();
  assert.deepEqual([...new Set(statuses)], [200]);
  await platform.setFaults(platform.logFaultUrl, {});
  assert.deepEqual(await runningTasks(node(0)), running);
});

test('a host list that becomes empty by mistake causes no task to move', async () => {
  // The host list loses its state and returns no hosts. If nodes accepted the empty list, they
  // would revoke every task at once, and no endpoint would remain.
  const running = await runningTasks(node(0));
  await platform.setFaults(platform.hostListFaultUrl, {});
  await fetch(`${platform.hostListFaultUrl}/clear`, { method: 'POST' });
  await waitFor('the empty list to be held back', WAIT_MS, async () => {
    const events = await clientOf(node(0)).events('');
    return events.some((event) => event.event === 'host-list-held');
  });
  await sleep(OBSERVATION_MS);
  assert.deepEqual(await runningTasks(node(0)), running);
  assert.equal(await check(platform, node(0)), 200);
  for (const worker of platform.workers) await platform.listHost(worker, 'live');
});

test('a leaving host gets no requests after 4 s, even while the log is silent', async () => {
  // The list marks a host as leaving while no decision can be written, so the host's endpoint
  // keeps running and the control stream still lists it as live. Entry hosts must stop routing to
  // it because of the list alone.
  const [leavingWorker] = platform.workers.filter((worker) => worker.dataCentre === 'dc1');
  assert.ok(leavingWorker);
  const checks = load(node(0));
  await waitFor('requests on the host', WAIT_MS, async () => (await runsOn(leavingWorker)) > 0);
  await platform.setFaults(platform.logFaultUrl, { freeze: true });
  await platform.listHost(leavingWorker, 'leaving');
  await sleep(ROUTING_STOP_LIMIT_MS);
  const runsAtLimit = await runsOn(leavingWorker);
  await sleep(OBSERVATION_MS);
  const runsAfterWatch = await runsOn(leavingWorker);
  const statuses = await checks.stop();
  await platform.setFaults(platform.logFaultUrl, {});
  assert.equal(runsAfterWatch, runsAtLimit);
  assert.deepEqual([...new Set(statuses)], [200]);
  await waitFor('the tasks of the leaving host to move', WAIT_MS, async () => {
    const tasks = await runningTasks(node(0));
    return tasks.length === 2 && tasks.every((task) => !task.endsWith(leavingWorker.hostId));
  });
});
