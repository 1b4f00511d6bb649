import type { RandomSource } from './random.js';
import type { Endpoint } from './routing-table.js';

/** An entry host's own use of an endpoint. */
export interface EndpointLoad {
  /** The number of requests of this entry host that the endpoint has not answered yet. */
  readonly inFlight: number;
  /** The maximum number of requests that this entry host may have in flight at the endpoint. */
  readonly limit: number;
  /** The smoothed latency in milliseconds; 0 if it is not known. */
  readonly latencyMs: number;
}

type LoadOf = (endpoint: Endpoint) => EndpointLoad;

/** Chooses the endpoint for a request. */
export abstract class EndpointPicker {
  /**
   * @param endpoints - The candidates.
   * @param loadOf - Returns the load of a candidate.
   * @returns An endpoint below its limit, or undefined if all have reached it.
   */
  abstract pick(endpoints: readonly Endpoint[], loadOf: LoadOf): Endpoint | undefined;
}

/** Samples a few candidates below their limits and picks the one with the lowest score. */
abstract class LeastLoadedOfSample extends EndpointPicker {
  readonly #random: RandomSource;

  readonly #sampleSize: number;

  constructor(random: RandomSource, sampleSize: number) {
    super();
    this.#random = random;
    this.#sampleSize = sampleSize;
  }

  protected abstract score(load: EndpointLoad): number;

  override pick(endpoints: readonly Endpoint[], loadOf: LoadOf): Endpoint | undefined {
    const available = belowLimit(endpoints, loadOf);
    let best: Endpoint | undefined;
    let bestScore = Infinity;
    for (let i = 0; i < this.#sampleSize && available.length > 0; i += 1) {
      const candidate = available[this.#random.int(0, available.length - 1)];
      const score = candidate ? this.score(loadOf(candidate)) : Infinity;
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }
}

/** Picks the endpoint with fewer requests in flight out of two that are sampled at random. */
export class TwoChoices extends LeastLoadedOfSample {
  constructor(random: RandomSource) {
    super(random, 2);
  }

  protected override score({ inFlight }: EndpointLoad): number {
    return inFlight;
  }
}

/** Number of candidates compared; with more, all entry hosts would converge on one endpoint. */
const SAMPLE_SIZE = 3;

/**
 * Picks the endpoint with the lowest expected time, estimated from requests in flight and latency.
 * A slow endpoint may have few requests in flight; its latency keeps it from being taken for idle.
 */
export class LeastExpectedTime extends LeastLoadedOfSample {
  constructor(random: RandomSource, sampleSize = SAMPLE_SIZE) {
    super(random, sampleSize);
  }

  protected override score({ inFlight, latencyMs }: EndpointLoad): number {
    // Without the added millisecond, all endpoints not measured yet would tie whatever their load.
    return (inFlight + 1) * (latencyMs + 1);
  }
}

function belowLimit(endpoints: readonly Endpoint[], loadOf: LoadOf): Endpoint[] {
  return endpoints.filter((endpoint) => {
    const { inFlight, limit } = loadOf(endpoint);
    return inFlight < limit;
  });
}

/** Picks any endpoint below its limit; a baseline that the other pickers have to beat. */
export class RandomPicker extends EndpointPicker {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override pick(endpoints: readonly Endpoint[], loadOf: LoadOf): Endpoint | undefined {
    const available = belowLimit(endpoints, loadOf);
    return available.length === 0
      ? undefined
      : available[this.#random.int(0, available.length - 1)];
  }
}

/** Picks the endpoints below their limits in turn; the other baseline. */
export class RoundRobin extends EndpointPicker {
  #picks = 0;

  override pick(endpoints: readonly Endpoint[], loadOf: LoadOf): Endpoint | undefined {
    const available = belowLimit(endpoints, loadOf);
    this.#picks += 1;
    return available[this.#picks % Math.max(1, available.length)];
  }
}
