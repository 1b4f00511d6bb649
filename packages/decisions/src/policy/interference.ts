/** Learning rate, small enough that a single outlier has little effect. */
const LEARNING_RATE = 0.1;

/** Scales the CPU share of a batch kind, mostly below 1/3, to the magnitude of the other inputs. */
const CPU_SHARE_SCALE = 4;

/** After this many measurements with a noticeable share, a learned cost has half its weight. */
const HALF_CONFIDENCE_SAMPLES = 20;

/** A smaller CPU share than this says nothing about a pair. */
const MIN_CPU_SHARE = 0.02;

/**
 * Returns the workload kind of a service or job: its name without trailing numbers, so that each
 * night's `route-build-20261202` is recognised as the same kind.
 */
export function workloadKindOf(name: string): string {
  return name.replace(/(-?\d+)+$/, '') || name;
}

/** One measurement of a service's tail latency, with the batch work on its host at that time. */
export interface TailLatencySample {
  readonly service: string;
  /** Tail latency divided by its target; above 1, the target is missed. */
  readonly latencyRatio: number;
  /** The replica's utilisation of its own processors, 0 to 1. */
  readonly load: number;
  /** The share of the host's processors that each batch kind used. */
  readonly batchCpuShares: ReadonlyMap<string, number>;
}

interface Estimate {
  base: number;
  perLoad: number;
  readonly pairs: Map<string, { weight: number; seen: number }>;
}

/**
 * Learns how much each kind of batch work increases each service's tail latency. The model is a
 * sum: a base, a term proportional to the service's load and, for each batch kind on the host, a
 * cost times the kind's CPU share times the service's load. The weights are fitted by normalized
 * least mean squares, which needs no history, so measurements may be late, lost or out of order,
 * and which follows costs that change.
 */
export class InterferenceModel {
  readonly #services = new Map<string, Estimate>();

  learn({ service, latencyRatio, load, batchCpuShares }: TailLatencySample): void {
    const estimate = this.#services.get(service) ?? { base: 0.5, perLoad: 0, pairs: new Map() };
    this.#services.set(service, estimate);
    const inputs = new Map(
      [...batchCpuShares].map(([kind, cpuShare]) => [kind, CPU_SHARE_SCALE * cpuShare * load]),
    );
    let predicted = estimate.base + estimate.perLoad * load;
    let norm = 1 + load * load;
    for (const [kind, input] of inputs) {
      predicted += (estimate.pairs.get(kind)?.weight ?? 0) * input;
      norm += input * input;
    }
    const step = (LEARNING_RATE * (latencyRatio - predicted)) / norm;
    estimate.base += step;
    estimate.perLoad += step * load;
    for (const [kind, input] of inputs) {
      const pair = estimate.pairs.get(kind) ?? { weight: 0, seen: 0 };
      // Batch work never makes a service faster: a negative cost is noise.
      pair.weight = Math.max(0, pair.weight + step * input);
      if ((batchCpuShares.get(kind) ?? 0) >= MIN_CPU_SHARE) pair.seen += 1;
      estimate.pairs.set(kind, pair);
    }
  }

  /**
   * Returns how much a whole host of the kind would add to the latency ratio at full load, weighted
   * by the confidence in the estimate.
   */
  cost(service: string, kind: string): number {
    const pair = this.#services.get(service)?.pairs.get(kind);
    if (!pair) return 0;
    return (CPU_SHARE_SCALE * pair.weight * pair.seen) / (pair.seen + HALF_CONFIDENCE_SAMPLES);
  }

  /** Predicts the service's tail latency at full load beside these kinds, divided by its target. */
  predict(service: string, batchCpuShares: ReadonlyMap<string, number>): number {
    const estimate = this.#services.get(service);
    let ratio = (estimate?.base ?? 0) + (estimate?.perLoad ?? 0);
    for (const [kind, cpuShare] of batchCpuShares) ratio += this.cost(service, kind) * cpuShare;
    return ratio;
  }

  /** Yields every learned pair, for operators and tests. */
  *pairs(): Generator<{ service: string; kind: string; cost: number; seen: number }> {
    for (const [service, { pairs }] of this.#services) {
      for (const [kind, { seen }] of pairs) {
        yield { service, kind, cost: this.cost(service, kind), seen };
      }
    }
  }
}
