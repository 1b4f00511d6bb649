/** Steps of the estimate: small enough that one odd measurement moves little. */
const RATE = 0.1;

/** Brings a batch kind's part of a host, mostly below a third, to the size of the other terms. */
const SCALE = 4;

/** A pair counts half after so many measurements that had it in a noticeable part. */
const HALF_CONFIDENCE = 20;

/** A part of a host below this says nothing about a pair. */
const NOTICEABLE = 0.02;

/**
 * The kind of a service or job: its name without the numbers at its end, so that tonight's
 * `route-build-20261202` is known from last night's.
 */
export function workloadKindOf(name: string): string {
  return name.replace(/(-?\d+)+$/, '') || name;
}

/** One measurement of a service's tail with what ran beside it at that time. */
export interface TailLatencySample {
  readonly service: string;
  /** Tail latency as a part of the target: above 1 it is missed. */
  readonly tail: number;
  /** How busy the replica was: its use of its own processors, 0 to 1. */
  readonly load: number;
  /** The part of the host's processors that each batch kind used. */
  readonly batchCpuShares: ReadonlyMap<string, number>;
}

interface Estimate {
  base: number;
  perLoad: number;
  readonly pairs: Map<string, { weight: number; seen: number }>;
}

/**
 * Learns how much each kind of batch work lengthens each service's tail. The tail is taken as a
 * sum: what the service has by itself, and for each kind beside it a cost times its part of the
 * host times the service's load. Normalized least mean squares needs no history, so measurements
 * may be late, lost or out of order, and it follows costs that shift.
 */
export class InterferenceModel {
  readonly #services = new Map<string, Estimate>();

  learn({ service, tail, load, batchCpuShares }: TailLatencySample): void {
    const estimate = this.#services.get(service) ?? { base: 0.5, perLoad: 0, pairs: new Map() };
    this.#services.set(service, estimate);
    const inputs = new Map([...batchCpuShares].map(([kind, part]) => [kind, SCALE * part * load]));
    let predicted = estimate.base + estimate.perLoad * load;
    let norm = 1 + load * load;
    for (const [kind, input] of inputs) {
      predicted += (estimate.pairs.get(kind)?.weight ?? 0) * input;
      norm += input * input;
    }
    const step = (RATE * (tail - predicted)) / norm;
    estimate.base += step;
    estimate.perLoad += step * load;
    for (const [kind, input] of inputs) {
      const pair = estimate.pairs.get(kind) ?? { weight: 0, seen: 0 };
      // Batch work beside a service never makes it faster: a negative cost is noise.
      pair.weight = Math.max(0, pair.weight + step * input);
      if ((batchCpuShares.get(kind) ?? 0) >= NOTICEABLE) pair.seen += 1;
      estimate.pairs.set(kind, pair);
    }
  }

  /** What a whole host of the kind would add to the tail at full load, as far as it is sure. */
  cost(service: string, kind: string): number {
    const pair = this.#services.get(service)?.pairs.get(kind);
    if (!pair) return 0;
    return (SCALE * pair.weight * pair.seen) / (pair.seen + HALF_CONFIDENCE);
  }

  /** The service's tail at full load with these kinds beside it, as a part of its target. */
  predict(service: string, beside: ReadonlyMap<string, number>): number {
    const estimate = this.#services.get(service);
    let tail = (estimate?.base ?? 0) + (estimate?.perLoad ?? 0);
    for (const [kind, part] of beside) tail += this.cost(service, kind) * part;
    return tail;
  }

  /** Every learned pair, for operators and tests. */
  *pairs(): Generator<{ service: string; kind: string; cost: number; seen: number }> {
    for (const [service, { pairs }] of this.#services) {
      for (const [kind, { seen }] of pairs) {
        yield { service, kind, cost: this.cost(service, kind), seen };
      }
    }
  }
}
