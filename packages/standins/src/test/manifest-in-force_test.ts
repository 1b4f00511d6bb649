import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { CodedError, MANIFEST_STREAM } from '@redwingcrank/protocol';
import { HttpPlatformLog } from '@redwingcrank/ports';
import type { DemoPlatform } from '../demo-platform.js';
import { waitFor } from '../wait-for.js';
import {
  WAIT_MS,
  check,
  clientOf,
  clientsOf,
  demoManifest,
  publishTo,
  runningPlatform,
} from './running-platform.js';

let platform: DemoPlatform;
let version = 1;

before(async () => {
  platform = await runningPlatform();
});

after(async () => {
  await platform.stop();
});

async function append(record: object): Promise<void> {
  await new HttpPlatformLog(platform.logUrl, WAIT_MS).append(MANIFEST_STREAM, record);
}

/** Waits until every node has `count` rejections, asserts that they agree, and returns them. */
async function agreedRejections(count: number): Promise<string[]> {
  let reasons: string[][] = [];
  await waitFor(`${count} rejections on every node`, WAIT_MS, async () => {
    const all = await Promise.all(clientsOf(platform).map((client) => client.status()));
    reasons = all.map((status) => status.rejections.map((r) => `${r.id} ${r.reason}`));
    return reasons.every((list) => list.length === count);
  });
  const [first = []] = reasons;
  reasons.forEach((list) => assert.deepEqual(list, first));
  return first;
}

test('of two concurrent manifests one takes effect, and all nodes report the same rejections', async () => {
  // Both manifests replace version 1, and both appends succeed. Every node rejects the second in
  // log order, and its operator gets a conflict error. Two invalid manifests and a replayed old one
  // follow: they do not change the manifest in force, and each is reported with its reason.
  const manifests = [await demoManifest(2, 1), await demoManifest(3, 1)];
  const results = await Promise.allSettled(manifests.map((m) => publishTo(platform, m)));
  const rejected = results.filter((result) => result.status === 'rejected');
  assert.equal(rejected.length, 1);
  assert.ok(rejected[0]?.reason instanceof CodedError);
  assert.equal(rejected[0].reason.result.name, 'manifest-conflict');
  version = results[0]?.status === 'fulfilled' ? 2 : 3;
  const next = await demoManifest(version + 1, version);
  const movedJobs = next.jobs.map((job) => ({ ...job, dataCentre: 'dc2' }));
  await append({ type: 'manifest', id: 'bad', manifest: { ...next, teams: 7 } });
  await append({ type: 'manifest', id: 'moves-a-job', manifest: { ...next, jobs: movedJobs } });
  await append({ type: 'manifest', id: 'old', manifest: await demoManifest(1, 0) });
  const reasons = await agreedRejections(4);
  assert.deepEqual(reasons.slice(1), ['bad invalid', 'moves-a-job invalid', 'old conflict']);
  const states = await Promise.all(clientsOf(platform).map((client) => client.status()));
  assert.ok(states.every((status) => status.manifestVersion === version));
});

async function restartDuring(faults: object): Promise<void> {
  const [, , , node] = platform.nodes;
  assert.ok(node);
  node.child.process.kill('SIGKILL');
  await platform.setFaults(platform.logFaultUrl, faults);
  await platform.startNode(node);
  await waitFor('the node to be ready with the manifest of its peers', WAIT_MS, async () => {
    const status = await clientOf(node).status();
    return status.state === 'ready' && status.manifestSource === 'peer';
  });
  const status = await clientOf(node).status();
  assert.equal(status.manifestVersion, version);
  await waitFor(
    'a check through the node to succeed',
    WAIT_MS,
    async () => (await check(platform, node)) === 200,
  );
  await platform.setFaults(platform.logFaultUrl, {});
  await waitFor('the node to read the manifest from the log', WAIT_MS, async () => {
    const { manifestSource } = await clientOf(node).status();
    return manifestSource === 'log';
  });
  assert.equal((await clientOf(node).status()).manifestVersion, version);
  version += 1;
  await publishTo(platform, await demoManifest(version));
}

test('a node that starts while the log refuses requests serves with the state of its peers', async () => {
  // A node is replaced during an outage of the log. Without its peers' state the new node would
  // have no manifest and no routes until the log recovers, and callers would get status 503. The
  // node reports the source of its manifest, and continues from there once the log answers.
  await restartDuring({ refuse: true });
});

test('a node that starts while the log is silent serves with the state of its peers', async () => {
  // As above, but the log accepts connections and never answers, so every read times out.
  await restartDuring({ freeze: true });
});
