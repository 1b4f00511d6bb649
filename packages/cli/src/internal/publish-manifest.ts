import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import type { Manifest } from '@redwingcrank/protocol';
import { CodedError, MANIFEST_STREAM } from '@redwingcrank/protocol';
import type { PlatformLog } from '@redwingcrank/ports';
import { HttpPlatformLog } from '@redwingcrank/ports';
import type { AdminClient } from './admin-client.js';
import type { Output } from './output.js';

const LOG_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 100;

export interface PublishOptions {
  readonly manifest: Manifest;
  readonly logUrl: string;
  readonly nodes: readonly AdminClient[];
  readonly waitMs: number;
  readonly out: Output;
}

/** The manifest version that a node reports, or undefined if it does not answer. */
interface NodeProgress {
  readonly address: string;
  readonly version: number | undefined;
}

/**
 * Appends the manifest to the log and waits until every node reports it in force.
 *
 * @throws CodedError (202) if another manifest was accepted first, (201) if the nodes find it
 *   invalid, (103) if it is not in force on every node when the waiting time is over, (401) if it
 *   is not known to be on the log.
 */
export async function publish(options: PublishOptions): Promise<void> {
  const { manifest, logUrl, nodes, out } = options;
  const id = randomUUID();
  const log = new HttpPlatformLog(logUrl, LOG_TIMEOUT_MS);
  const offset = await appendOnce(log, { type: 'manifest', id, manifest });
  out.line(`version ${manifest.version} is on the log at offset ${offset}`);
  const behind = await waitForNodes(options, id);
  if (behind.length > 0) {
    const lagging = behind.map(({ address, version }) =>
      version === undefined ? `${address} (no answer)` : `${address} (version ${version})`,
    );
    throw new CodedError(
      'notInForce',
      `on the log at offset ${offset}, not yet in force at: ${lagging.join(', ')}`,
    );
  }
  out.line(`version ${manifest.version} is in force on ${nodes.length} nodes`);
}

interface IdentifiedRecord {
  readonly type: 'manifest';
  readonly id: string;
  readonly manifest: Manifest;
}

/**
 * Appends the record at most once. If the answer is lost, the record may be on the log
 * nevertheless, and a second append would be rejected as a conflict with the first, which would
 * look like a lost race. So a failed append is not repeated; the log is searched for the record.
 */
async function appendOnce(log: PlatformLog, record: IdentifiedRecord): Promise<number> {
  try {
    return await log.append(MANIFEST_STREAM, record);
  } catch (err) {
    const offset = await findRecord(log, record.id).catch(() => undefined);
    if (offset !== undefined) return offset;
    const reason = err instanceof Error ? err.message : String(err);
    const advice = 'the manifest may still be on the log: check status before publishing it again';
    throw new CodedError('logUnavailable', `${reason}\n${advice}`);
  }
}

async function findRecord(log: PlatformLog, id: string): Promise<number | undefined> {
  let from = 0;
  for (;;) {
    const page = await log.read(MANIFEST_STREAM, from, 0);
    const entry = page.entries.find(({ value }) => (value as { id?: unknown } | null)?.id === id);
    if (entry) return entry.offset;
    if (page.entries.length === 0) return undefined;
    from = page.next;
  }
}

/** Waits for the nodes and returns those that are still behind when the waiting time is over. */
async function waitForNodes(options: PublishOptions, id: string): Promise<NodeProgress[]> {
  const { nodes, manifest, waitMs, out } = options;
  const endMs = performance.now() + waitMs;
  let lastReported = -1;
  for (;;) {
    const behind = await nodesBehind(options, id);
    const done = nodes.length - behind.length;
    if (done !== lastReported && behind.length > 0) {
      const addresses = behind.map(({ address }) => address).join(', ');
      out.line(
        `version ${manifest.version}: ${done} of ${nodes.length} nodes, waiting for ${addresses}`,
      );
      lastReported = done;
    }
    if (behind.length === 0 || performance.now() >= endMs) return behind;
    await wait(POLL_INTERVAL_MS);
  }
}

async function nodesBehind(
  { nodes, manifest }: PublishOptions,
  id: string,
): Promise<NodeProgress[]> {
  const progress = await Promise.all(
    nodes.map(async (node): Promise<NodeProgress> => {
      const status = await node.status().catch(() => undefined);
      const rejection = status?.rejections.find((r) => r.id === id);
      if (rejection) {
        const key = rejection.reason === 'invalid' ? 'manifestInvalid' : 'manifestConflict';
        throw new CodedError(key, rejection.detail);
      }
      return { address: node.address, version: status?.manifestVersion };
    }),
  );
  return progress.filter(({ version }) => (version ?? 0) < manifest.version);
}
