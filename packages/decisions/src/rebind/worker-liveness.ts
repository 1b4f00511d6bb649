import type { ControlFold } from '../control-fold.js';

/** If fewer than this share of the hosts report, the fault is assumed to be on this node. */
const MIN_REPORTING_SHARE = 0.5;

/** Tracks which workers have been silent for so long that their leases are about to expire. */
export class WorkerLiveness {
  readonly #silenceMs: number;

  readonly #lastReportAt = new Map<string, number>();

  #resetAt = -Infinity;

  /** @param silenceMs - The time without a report after which a worker is unreachable. */
  constructor(silenceMs: number) {
    this.#silenceMs = silenceMs;
  }

  onReport(hostId: string, now: number): void {
    this.#lastReportAt.set(hostId, now);
  }

  /**
   * Restarts all silence periods: during a pause, or before it became the holder, this node could
   * not receive reports.
   */
  reset(now: number): void {
    this.#resetAt = now;
  }

  /**
   * Returns the hosts whose workers are silent. If most workers are silent, the fault is more
   * likely on this node, and moving all tasks would be the worse mistake: the result is empty.
   */
  unreachable(fold: ControlFold, now: number): ReadonlySet<string> {
    const silent = new Set<string>();
    let live = 0;
    for (const { hostId, state } of fold.hosts.values()) {
      if (state === 'live') {
        live += 1;
        if (now - this.#silentSince(hostId, now) >= this.#silenceMs) silent.add(hostId);
      }
    }
    return live - silent.size >= live * MIN_REPORTING_SHARE ? silent : new Set();
  }

  #silentSince(hostId: string, now: number): number {
    const lastReportAt = this.#lastReportAt.get(hostId);
    // A host that is seen for the first time gets the full silence period to report.
    if (lastReportAt === undefined) this.#lastReportAt.set(hostId, now);
    return Math.max(lastReportAt ?? now, this.#resetAt);
  }
}
