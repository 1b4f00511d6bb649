import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { decodeFromCompressedBase64 } from 'hdr-histogram-js';
import type { Launcher } from '@redwingcrank/standins';
import type { Experiment } from './experiment-file.js';
import { capacityOf } from './experiment-file.js';
import type { LoadResult } from './load-generator.js';
import { newHistogram } from './load-generator.js';

/** One generator process would be the bottleneck before eight entry hosts are. */
const GENERATORS = 3;

interface Encoded {
  readonly checks: string;
  readonly holds: string;
  readonly refusals: string;
  readonly counts: [string, number][];
  readonly wrong: number;
}

/** Makes the load from several processes and adds up what they saw. */
export async function runLoad(
  launcher: Launcher,
  experiment: Experiment,
  ports: readonly number[],
  seed: number,
): Promise<LoadResult> {
  const perSecond = (capacityOf(experiment) * experiment.load) / GENERATORS;
  const parts = Array.from({ length: GENERATORS }, async (_, i) => {
    const script = fileURLToPath(new URL('load-main.js', import.meta.url));
    const flags = {
      ports: ports.join(','),
      'per-second': perSecond,
      'duration-ms': experiment.durationMs,
      holds: experiment.holds,
      'deadline-ms': experiment.deadlineMs,
      seed: seed * GENERATORS + i,
    };
    const args = Object.entries(flags).map(([name, value]) => `--${name}=${value}`);
    const child = await launcher.start(`load-${i}`, script, args);
    await once(child.process, 'close');
    return JSON.parse(child.lines[1] ?? '{}') as Encoded;
  });
  return merge(await Promise.all(parts));
}

function merge(parts: readonly Encoded[]): LoadResult {
  const total: LoadResult = {
    checks: newHistogram(),
    holds: newHistogram(),
    refusals: newHistogram(),
    counts: new Map(),
    wrong: 0,
  };
  for (const part of parts) {
    for (const kind of ['checks', 'holds', 'refusals'] as const) {
      total[kind].add(decodeFromCompressedBase64(part[kind]));
    }
    for (const [key, count] of part.counts) {
      total.counts.set(key, (total.counts.get(key) ?? 0) + count);
    }
    total.wrong += part.wrong;
  }
  return total;
}
