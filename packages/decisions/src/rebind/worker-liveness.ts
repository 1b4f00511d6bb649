import type { ControlFold } from '../control-fold.js';

/** Below this part of the hosts heard, it is this node that hears nobody. */
const LEAST_PART_HEARD = 0.5;

/** Knows which workers have been silent for so long that their leases must be running out. */
export class WorkerLiveness {
  readonly #silenceMs: number;

  readonly #heardAt = new Map<string, number>();

  #resetAt = -Infinity;

  /** @param silenceMs - A worker not heard for so long is unreachable. */
  constructor(silenceMs: number) {
    this.#silenceMs = silenceMs;
  }

  onReport(hostId: string, now: number): void {
    this.#heardAt.set(hostId, now);
  }

  /** Begins anew: after a pause, or as a new holder, this node could not have heard anybody. */
  reset(now: number): void {
    this.#resetAt = now;
  }

  /**
   * The hosts whose workers are silent. Where most of them are, the fault is more likely on this
   * node's side, and moving everything would be the worse mistake: then none is named.
   */
  unreachable(fold: ControlFold, now: number): ReadonlySet<string> {
    const silent = new Set<string>();
    let live = 0;
    for (const { hostId, state } of fold.hosts.values()) {
      if (state === 'live') {
        live += 1;
        if (now - this.#since(hostId, now) >= this.#silenceMs) silent.add(hostId);
      }
    }
    return live - silent.size >= live * LEAST_PART_HEARD ? silent : new Set();
  }

  #since(hostId: string, now: number): number {
    const heardAt = this.#heardAt.get(hostId);
    // A host seen for the first time has its full time to answer.
    if (heardAt === undefined) this.#heardAt.set(hostId, now);
    return Math.max(heardAt ?? now, this.#resetAt);
  }
}
