import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { AdminClient, Output, publish } from '@redwingcrank/cli';
import type { Manifest } from '@redwingcrank/protocol';
import { readManifest } from '@redwingcrank/protocol';
import type { DemoNode } from '../demo-platform.js';
import { DemoPlatform } from '../demo-platform.js';
import { waitFor } from '../wait-for.js';

/** Timeout of waits; long, because tests must also pass on a busy machine. */
export const WAIT_MS = 40_000;

const ENDPOINT_COUNT = 8;

const DEMO_MANIFEST = new URL('../../../../examples/demo.json', import.meta.url);

/** Returns the demo's manifest with the given versions. */
export async function demoManifest(version = 1, replaces = version - 1): Promise<Manifest> {
  const result = readManifest(JSON.parse(await readFile(DEMO_MANIFEST, 'utf8')));
  assert.ok(result.ok);
  return { ...result.manifest, version, replaces };
}

/** Publishes a manifest through the CLI and waits until every node reports it in force. */
export async function publishTo(platform: DemoPlatform, manifest: Manifest): Promise<void> {
  const nodes = clientsOf(platform);
  const out = new Output(true);
  await publish({ manifest, logUrl: platform.logUrl, nodes, waitMs: WAIT_MS, out });
}

export function clientsOf(platform: DemoPlatform): AdminClient[] {
  return platform.adminAddresses.map((address) => new AdminClient(address));
}

export function clientOf(node: DemoNode): AdminClient {
  return new AdminClient(`127.0.0.1:${node.adminPort}`);
}

/** Starts two data centres with the demo's manifest in force and its services running. */
export async function runningPlatform(
  options: {
    nodeFlags?: string[];
    logFlags?: string[];
    leaseMs?: number;
    serviceMs?: number;
  } = {},
): Promise<DemoPlatform> {
  const platform = new DemoPlatform({
    dataCentres: ['dc1', 'dc2'],
    nodesPerDataCentre: 2,
    hostsPerDataCentre: 2,
    capacity: { cpu: 16, memoryMb: 32_000, accelerators: 0 },
    leaseMs: 4_000,
    jobMs: 500,
    serviceMs: 5,
    ...options,
  });
  await platform.start();
  await publishTo(platform, await demoManifest());
  await waitFor('the endpoints', WAIT_MS, async () => {
    const tasks = await Promise.all(clientsOf(platform).map((node) => node.tasks()));
    return tasks.flat().filter((t) => t.endpoint !== undefined).length === ENDPOINT_COUNT;
  });
  return platform;
}

/** Sends a check through a node; resolves to the status, or undefined if the connection failed. */
export async function check(platform: DemoPlatform, node: DemoNode): Promise<number | undefined> {
  try {
    const res = await fetch(`${platform.callerUrl(node)}/booking/check?window=1`);
    await res.text();
    return res.status;
  } catch {
    return undefined;
  }
}
