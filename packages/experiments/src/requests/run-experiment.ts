import { AdminClient, Output, publish } from '@redwingcrank/cli';
import { readManifest } from '@redwingcrank/protocol';
import { DemoPlatform, waitFor } from '@redwingcrank/standins';
import type { Experiment, Variant } from './experiment-file.js';
import { runFaults } from './faults.js';
import type { LoadResult } from './load-generator.js';
import { runLoad } from './load-processes.js';

/** What one run of one variant gave. */
export interface RunFigures {
  readonly variant: string;
  readonly seed: number;
  /** Milliseconds. */
  readonly checkP50: number;
  readonly checkP99: number;
  readonly holdP50: number;
  readonly holdP99: number;
  readonly holdP999: number;
  readonly refusalP99: number;
  /** Good answers per second. */
  readonly goodput: number;
  readonly counts: Readonly<Record<string, number>>;
  readonly wrong: number;
  readonly sendsPerRequest: number;
  readonly maxConnections: number;
  /** Processor time of an entry host for a request, in milliseconds. */
  readonly cpuMsPerRequest: number;
}

const START_LIMIT_MS = 60_000;
const US_PER_MS = 1000;
const SECOND_MS = 1000;
const LEASE_MS = 20_000;
const HOST = { cpu: 32, memoryMb: 125_000, accelerators: 0 };

/** Runs every variant in turn, and again, so that noise of the machine hits all alike. */
export async function runExperiment(experiment: Experiment, seed: number): Promise<RunFigures[]> {
  const figures: RunFigures[] = [];
  for (let repeat = 0; repeat < experiment.repeats; repeat += 1) {
    for (const variant of experiment.variants) {
      figures.push(await runVariant(experiment, variant, seed + repeat));
      process.stderr.write(
        `${experiment.name} ${variant.name} ${repeat + 1}/${experiment.repeats}\n`,
      );
    }
  }
  return figures;
}

async function runVariant(
  experiment: Experiment,
  variant: Variant,
  seed: number,
): Promise<RunFigures> {
  const platform = new DemoPlatform({
    dataCentres: Object.keys(experiment.dataCentres),
    nodesPerDataCentre: experiment.entryHostsPerDataCentre,
    hostsPerDataCentre: Math.max(...Object.values(experiment.dataCentres)),
    capacity: HOST,
    leaseMs: LEASE_MS,
    jobMs: 1000,
    serviceMs: experiment.serviceMs,
    nodeFlags: variant.nodeFlags,
  });
  try {
    await platform.start();
    await publishService(platform, experiment);
    const ports = platform.nodes.map((node) => node.callerPort);
    const cpuBefore = await sumMetric(platform, 'process_cpu_seconds_total');
    const [load] = await Promise.all([
      runLoad(platform.launcher, experiment, ports, seed),
      runFaults(platform, experiment.faults),
    ]);
    return await figuresOf(platform, experiment, { variant: variant.name, seed, load, cpuBefore });
  } finally {
    for (const child of platform.workerChildren.values()) child.process.kill('SIGCONT');
    await platform.stop();
  }
}

async function publishService(platform: DemoPlatform, experiment: Experiment): Promise<void> {
  const reading = readManifest({
    apiVersion: 'redwingcrank/v1',
    version: 1,
    replaces: 0,
    dataCentres: Object.keys(experiment.dataCentres),
    teams: [{ name: 'booking', quota: { cpu: 10_000, memoryMb: 10_000_000 } }],
    services: [
      {
        name: 'booking',
        team: 'booking',
        tier: 'critical',
        pathPrefix: '/booking',
        replicas: experiment.dataCentres,
        resources: { cpu: 20, memoryMb: 64_000 },
        slots: experiment.slots,
        connections: experiment.connections,
      },
    ],
    jobs: [],
  });
  if (!reading.ok) throw new Error(JSON.stringify(reading.faults));
  const nodes = platform.adminAddresses.map((address) => new AdminClient(address));
  const { manifest } = reading;
  const out = new Output(true);
  await publish({ manifest, logUrl: platform.logUrl, nodes, waitMs: START_LIMIT_MS, out });
  const wanted = Object.values(experiment.dataCentres).reduce((a, b) => a + b, 0);
  await waitFor('all endpoints', START_LIMIT_MS, async () => {
    const tasks = await Promise.all(nodes.map((node) => node.tasks()));
    const running = tasks.flat().filter((task) => task.state === 'running');
    return running.length === wanted * experiment.entryHostsPerDataCentre;
  });
}

interface Gathered {
  readonly variant: string;
  readonly seed: number;
  readonly load: LoadResult;
  readonly cpuBefore: number;
}

async function figuresOf(
  platform: DemoPlatform,
  experiment: Experiment,
  { variant, seed, load, cpuBefore }: Gathered,
): Promise<RunFigures> {
  const ms = (kind: 'checks' | 'holds' | 'refusals', percentile: number): number =>
    load[kind].getValueAtPercentile(percentile) / US_PER_MS;
  const requests = [...load.counts.values()].reduce((a, b) => a + b, 0);
  const cpu = (await sumMetric(platform, 'process_cpu_seconds_total')) - cpuBefore;
  const good = load.counts.get('200') ?? 0;
  return {
    variant,
    seed,
    checkP50: ms('checks', 50),
    checkP99: ms('checks', 99),
    holdP50: ms('holds', 50),
    holdP99: ms('holds', 99),
    holdP999: ms('holds', 99.9),
    refusalP99: ms('refusals', 99),
    goodput: (good * SECOND_MS) / experiment.durationMs,
    counts: Object.fromEntries([...load.counts].sort()),
    wrong: load.wrong,
    sendsPerRequest: (await sumMetric(platform, 'redwingcrank_sends_total')) / requests,
    maxConnections: await maxConnections(platform),
    cpuMsPerRequest: (cpu * SECOND_MS) / requests,
  };
}

/** Adds up a metric over all its labels and all nodes. */
async function sumMetric(platform: DemoPlatform, name: string): Promise<number> {
  const texts = await Promise.all(
    platform.adminAddresses.map(async (address) =>
      (await fetch(`http://${address}/metrics`)).text(),
    ),
  );
  return texts
    .flatMap((text) => text.split('\n'))
    .filter((line) => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' '))), 0);
}

async function maxConnections(platform: DemoPlatform): Promise<number> {
  const counts = await Promise.all(
    platform.workers.map(async ({ address, faultPort }) => {
      const [ip] = address.split(':');
      const signal = AbortSignal.timeout(SECOND_MS);
      const res = await fetch(`http://${ip}:${faultPort}/connections`, { signal }).catch(
        () => undefined,
      );
      return res ? Number(await res.text()) : 0;
    }),
  );
  return Math.max(...counts);
}
