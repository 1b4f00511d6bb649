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

/** What every node says, once all have the same number of rejections. */
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

test('of two operators who race one wins, and every node says so alike', async () => {
  // Both replace version 1. Both appends succeed; the second in log order is rejected by every
  // node, and its operator is told that it lost. An invalid one and a replayed old one follow:
  // neither changes what is in force, and both show up with their reason.
  const racers = [await demoManifest(2, 1), await demoManifest(3, 1)];
  const results = await Promise.allSettled(racers.map((m) => publishTo(platform, m)));
  const lost = results.filter((result) => result.status === 'rejected');
  assert.equal(lost.length, 1);
  assert.ok(lost[0]?.reason instanceof CodedError);
  assert.equal(lost[0].reason.result.name, 'manifest-conflict');
  version = results[0]?.status === 'fulfilled' ? 2 : 3;
  const next = await demoManifest(version + 1, version);
  const moved = next.jobs.map((job) => ({ ...job, dataCentre: 'dc2' }));
  await append({ type: 'manifest', id: 'bad', manifest: { ...next, teams: 7 } });
  await append({ type: 'manifest', id: 'moves-a-job', manifest: { ...next, jobs: moved } });
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
  await waitFor('a node on its peers alone', WAIT_MS, async () => {
    const status = await clientOf(node).status();
    return status.state === 'ready' && status.manifestSource === 'peer';
  });
  const status = await clientOf(node).status();
  assert.equal(status.manifestVersion, version);
  await waitFor('a check through it', WAIT_MS, async () => (await check(platform, node)) === 200);
  await platform.setFaults(platform.logFaultUrl, {});
  await waitFor('the log again', WAIT_MS, async () => {
    const { manifestSource } = await clientOf(node).status();
    return manifestSource === 'log';
  });
  assert.equal((await clientOf(node).status()).manifestVersion, version);
  version += 1;
  await publishTo(platform, await demoManifest(version));
}

test('a node that starts while the log refuses serves on what its peers know', async () => {
  // A host is replaced in the middle of an outage. Without its peers' state the new node would
  // have no manifest and no routes until the log is back; the balancer's callers would get 503s.
  // It says where its manifest came from, and reads on from there once the log answers.
  await restartDuring({ refuse: true });
});

test('a node that starts while the log is silent serves on what its peers know', async () => {
  // As before, but the log accepts connections and never answers: every read has to be given up.
  await restartDuring({ freeze: true });
});
