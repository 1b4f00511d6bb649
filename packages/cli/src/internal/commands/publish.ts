import { z } from 'zod';
import type { Manifest } from '@redwingcrank/protocol';
import { CodedError, readManifest } from '@redwingcrank/protocol';
import { manifestPathSchema, nodesSchema } from '../cli-settings.js';
import type { Cluster } from '../cluster.js';
import { Command, clusterOf } from '../command.js';
import type { DiffLine } from '../manifest-diff.js';
import { diffManifests, predictChanges, predictQuotaOverruns } from '../manifest-diff.js';
import type { Output } from '../output.js';
import { publish } from '../publish-manifest.js';
import { readManifestFile } from '../read-manifest-file.js';

const schema = nodesSchema.extend({
  file: manifestPathSchema,
  dryRun: z.boolean(),
  waitMs: z.int().min(0).max(600_000),
});

type PublishSettings = z.infer<typeof schema>;

/** Publishes a manifest by compare-and-set on the version it replaces. */
export class Publish extends Command<PublishSettings> {
  readonly usage = 'publish <file>';

  readonly summary = 'Publish a manifest and wait until every node has it in force';

  readonly examples = [
    ['publish upepo.json --dry-run', 'Show the changes and what they would start, stop or refuse'],
    [
      'publish upepo.json',
      'Publish; nodes and log from REDWINGCRANK_NODES and REDWINGCRANK_LOG_URL',
    ],
  ] as const;

  override readonly options = {
    'dry-run': { type: 'boolean', default: false, describe: 'Only show what would happen' },
    'wait-ms': { type: 'number', default: 11_000, describe: 'How long to wait for the nodes' },
  } as const;

  readonly schema = schema;

  async run(settings: PublishSettings, out: Output): Promise<void> {
    const manifest = await readManifestFile(settings.file);
    const cluster = clusterOf(settings);
    const inForce = await manifestInForce(cluster);
    const current = inForce?.version ?? 0;
    out.line(`version ${manifest.version} replaces version ${manifest.replaces}`);
    // The log decides races; a manifest that is already stale is refused without appending it.
    if (manifest.replaces !== current) {
      const detail = `manifest replaces version ${manifest.replaces}, but ${current} is in force`;
      throw new CodedError('manifestConflict', detail);
    }
    if (settings.dryRun) {
      await showChanges(cluster, inForce, manifest, out);
      return;
    }
    const { logUrl, waitMs } = settings;
    if (logUrl === undefined) throw new CodedError('badSettings', 'logUrl: expected a URL');
    await publish({ manifest, logUrl, nodes: cluster.clients, waitMs, out });
    out.value({ version: manifest.version, replaces: manifest.replaces, inForce: true });
  }
}

/**
 * Returns the manifest with the highest version that a node has in force: versions only increase,
 * so a node with a lower version lags behind.
 */
async function manifestInForce(cluster: Cluster): Promise<Manifest | undefined> {
  const nodes = await cluster.reachable();
  const versions = nodes.map(({ status }) => status.manifestVersion);
  const newest = nodes[versions.indexOf(Math.max(...versions))];
  const reading = readManifest(await newest?.client.manifest());
  return reading.ok ? reading.manifest : undefined;
}

async function showChanges(
  cluster: Cluster,
  before: Manifest | undefined,
  after: Manifest,
  out: Output,
): Promise<void> {
  const states = await cluster.perDataCentre(async (node) => {
    const [status, hosts, tasks] = await Promise.all([node.status(), node.hosts(), node.tasks()]);
    return [{ dataCentre: status.dataCentre, hosts, tasks }];
  });
  const lines: DiffLine[] = [
    ...diffManifests(before, after),
    ...states.flatMap((state) => [...predictChanges(after, state)]),
    ...predictQuotaOverruns(after),
  ];
  if (lines.length === 0) out.line('nothing changes');
  out.rows(
    ['kind', 'subject', 'detail'],
    lines.map((line) => ({ ...line })),
  );
}
