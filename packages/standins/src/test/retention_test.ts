import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MANIFEST_STREAM, controlStream } from '@redwingcrank/protocol';
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

const RETENTION_MS = 6_000;

/** Waits until the stream's first records have expired from the log. */
async function waitForExpiry(platform: DemoPlatform, stream: string): Promise<void> {
  const log = new HttpPlatformLog(platform.logUrl, WAIT_MS);
  await waitFor(`the start of ${stream} to expire`, WAIT_MS, async () => {
    const { first } = await log.read(stream, 0, 0);
    return first > 2;
  });
}

test('manifest and decisions survive the expiry of their records and a restart of all nodes', async () => {
  // The log keeps records for 6 s. After the records of the manifest and of all decisions have
  // expired, all nodes are restarted at once. Without snapshots the new nodes would read streams
  // that lack their first records: no manifest, no routes and no completion of the job of dc1.
  const platform = await runningPlatform({
    logFlags: ['--retention-ms', String(RETENTION_MS)],
    nodeFlags: ['--log-retention-ms', String(RETENTION_MS)],
  });
  try {
    const streams = [MANIFEST_STREAM, controlStream('dc1'), controlStream('dc2')];
    for (const stream of streams) await waitForExpiry(platform, stream);
    const before = await clientsOf(platform)[0]?.tasks();
    for (const node of platform.nodes) node.child.process.kill('SIGKILL');
    for (const node of platform.nodes) await platform.startNode(node);
    for (const node of platform.nodes) {
      await waitFor(`${node.nodeId} to be ready`, WAIT_MS, async () => {
        const { state, manifestVersion } = await clientOf(node).status();
        return state === 'ready' && manifestVersion === 1;
      });
      await waitFor(
        'a check to succeed',
        WAIT_MS,
        async () => (await check(platform, node)) === 200,
      );
    }
    const jobsOf = (tasks: typeof before) =>
      tasks?.filter((t) => t.kind === 'job').map((t) => `${t.taskId} ${t.attempt} ${t.outcome}`);
    assert.deepEqual(jobsOf(await clientsOf(platform)[0]?.tasks()), jobsOf(before));
    await publishTo(platform, await demoManifest(2));
  } finally {
    await platform.stop();
  }
});
