import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { z } from 'zod';
import { AdminClient, Output, publish } from '@redwingcrank/cli';
import type { AdminRouteName } from '@redwingcrank/protocol';
import { ADMIN_ROUTES, adminProblemSchema, readManifest } from '@redwingcrank/protocol';
import { DemoPlatform, waitFor } from '../index.js';

const WAIT_TIMEOUT_MS = 30_000;
const NEW_KEY = 'the-new-key-of-operators';
const OLD_KEY = 'the-old-key-of-operators';

const platform = new DemoPlatform({
  dataCentres: ['dc1'],
  nodesPerDataCentre: 1,
  hostsPerDataCentre: 1,
  capacity: { cpu: 4, memoryMb: 4_000, accelerators: 0 },
  leaseMs: 5_000,
  jobMs: 60_000,
  serviceMs: 5,
  adminKeys: [NEW_KEY, OLD_KEY],
});

const job = (name: string, tasks: number, cpu: number) => ({
  name,
  team: 'a',
  dataCentre: 'dc1',
  tasks,
  resources: { cpu, memoryMb: 10 },
  deadline: '2030-01-01T00:00:00Z',
});

const reading = readManifest({
  apiVersion: 'redwingcrank/v1',
  version: 1,
  replaces: 0,
  dataCentres: ['dc1'],
  teams: [{ name: 'a', quota: { cpu: 4, memoryMb: 4_000 } }],
  services: [],
  jobs: [job('small', 5, 0.5), job('giant', 1, 64)],
});

async function get(path: string, key: string | null = NEW_KEY): Promise<Response> {
  const init = key === null ? {} : { headers: { authorization: `Bearer ${key}` } };
  return fetch(`http://${platform.adminAddresses[0]}${path}`, init);
}

async function getJson(path: string): Promise<Record<string, unknown>> {
  return (await (await get(path)).json()) as Record<string, unknown>;
}

before(async () => {
  await platform.start();
  assert.ok(reading.ok);
  const nodes = platform.adminAddresses.map((address) => new AdminClient(address, [NEW_KEY]));
  const { manifest } = reading;
  const out = new Output(true);
  await publish({ manifest, logUrl: platform.logUrl, nodes, waitMs: WAIT_TIMEOUT_MS, out });
  await waitFor('the small tasks to run', WAIT_TIMEOUT_MS, async () => {
    const tasks = await nodes[0]?.tasks();
    return tasks?.filter((task) => task.state === 'running').length === 5;
  });
});

after(() => platform.stop());

test('every answer of the administration API matches its schema without extra or missing fields', async () => {
  const queries: Partial<Record<AdminRouteName, string>> = { why: '?task=dc1/giant/0' };
  for (const [name, route] of Object.entries(ADMIN_ROUTES)) {
    const answer = await getJson(route.path + (queries[name as AdminRouteName] ?? ''));
    const schema: z.ZodType = route.answer;
    assert.deepEqual(schema.parse(answer), answer, route.path);
  }
});

test('paging returns every item once, in order and within the limit; filters select events', async () => {
  const taskIds: string[] = [];
  let cursor: unknown = '';
  while (cursor !== null) {
    const page = await getJson(`/v1/tasks?limit=2&cursor=${encodeURIComponent(String(cursor))}`);
    const tasks = page.tasks as { taskId: string }[];
    assert.ok(tasks.length <= 2);
    taskIds.push(...tasks.map(({ taskId }) => taskId));
    cursor = page.next;
  }
  assert.deepEqual(
    taskIds,
    [0, 1, 2, 3, 4].map((i) => `dc1/small/${i}`),
  );
  const filtered = await getJson('/v1/events?kind=attempt-running&task=dc1/small/3');
  assert.equal((filtered.events as unknown[]).length, 1);
});

test('why gives reasons for tasks that run, never fit, are unknown or are of another data centre', async () => {
  const reasonsOf = async (task: string): Promise<string[]> => {
    const { reasons } = await getJson(`/v1/why?task=${task}`);
    return (reasons as { reason: string }[]).map(({ reason }) => reason);
  };
  assert.deepEqual(await reasonsOf('dc1/small/0'), ['wanted', 'running']);
  const waitReasons = ['wanted', 'never-fits', 'hosts', 'quota-use', 'order'];
  assert.deepEqual(await reasonsOf('dc1/giant/0'), waitReasons);
  assert.deepEqual(await reasonsOf('dc1/small/9'), ['not-in-manifest']);
  assert.deepEqual(await reasonsOf('dc9/small/0'), ['other-data-centre']);
});

test('malformed queries, unknown paths, writes and wrong keys are refused with their error codes', async () => {
  const refusals: [Response, number, number][] = [
    [await get('/v1/tasks?limit=0'), 400, 104],
    [await get('/v1/tasks?limit=99999'), 400, 104],
    [await get('/v1/why'), 400, 104],
    [await get('/v1/nowhere'), 404, 105],
    [await get('/v1/status', null), 401, 106],
    [await get('/v1/status', 'the-new-key-of-operatorz'), 401, 106],
    [await fetch(`http://${platform.adminAddresses[0]}/v1/tasks`, { method: 'POST' }), 405, 107],
  ];
  for (const [res, status, code] of refusals) {
    const problem = adminProblemSchema.parse(await res.json());
    assert.deepEqual([res.status, problem.code], [status, code]);
  }
});

test('probes and metrics need no key; metrics include the event loop and garbage collection', async () => {
  assert.equal((await get('/healthz', null)).status, 200);
  assert.equal((await get('/readyz', null)).status, 200);
  const metrics = await (await get('/metrics', null)).text();
  assert.match(metrics, /nodejs_eventloop_lag_p99_seconds/);
  assert.match(metrics, /nodejs_gc_duration_seconds/);
  assert.match(metrics, /redwingcrank_manifest_version 1\n/);
  assert.match(metrics, /redwingcrank_unplaced_tasks 1\n/);
  assert.match(metrics, /redwingcrank_events_total\{event="manifest-in-force"\} 1\n/);
});

test('the old and the new key are both accepted during a key rotation', async () => {
  assert.equal((await get('/v1/status', OLD_KEY)).status, 200);
  assert.equal((await get('/v1/status', NEW_KEY)).status, 200);
});
