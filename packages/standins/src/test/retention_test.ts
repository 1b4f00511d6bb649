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

/** Waits until the log no longer has the stream's first records. */
async function firstRecordsGone(platform: DemoPlatform, stream: string): Promise<void> {
  const log = new HttpPlatformLog(platform.logUrl, WAIT_MS);
  await waitFor(`the start of ${stream} to expire`, WAIT_MS, async () => {
    const { first } = await log.read(stream, 0, 0);
    return first > 2;
  });
}

test('what is in force outlives the records that brought it there', async () => {
  // The log keeps records for six seconds. The manifest and every decision expire, and then every
  // node is replaced at once. Without snapshots the new ones would find streams without a
  // beginning: no manifest, no routes, and nothing that says the job of dc1 is done.
  const platform = await runningPlatform({
    logFlags: ['--retention-ms', String(RETENTION_MS)],
    nodeFlags: ['--log-retention-ms', String(RETENTION_MS)],
  });
  try {
    const streams = [MANIFEST_STREAM, controlStream('dc1'), controlStream('dc2')];
    for (const stream of streams) await firstRecordsGone(platform, stream);
    const before = await clientsOf(platform)[0]?.tasks();
    for (const node of platform.nodes) node.child.process.kill('SIGKILL');
    for (const node of platform.nodes) await platform.startNode(node);
    for (const node of platform.nodes) {
      await waitFor(`${node.nodeId} to be ready`, WAIT_MS, async () => {
        const { state, manifestVersion } = await clientOf(node).status();
        return state === 'ready' && manifestVersion === 1;
      });
      await waitFor('a check', WAIT_MS, async () => (await check(platform, node)) === 200);
    }
    const jobsOf = (tasks: typeof before) =>
      tasks?.filter((t) => t.kind === 'job').map((t) => `${t.taskId} ${t.attempt} ${t.outcome}`);
    assert.deepEqual(jobsOf(await clientsOf(platform)[0]?.tasks()), jobsOf(before));
    await publishTo(platform, await demoManifest(2));
  } finally {
    await platform.stop();
  }
});
