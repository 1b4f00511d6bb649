/** The timing that makes rebinding safe. All nodes of a data centre must use the same values. */
export interface LeaseTiming {
  /** The duration of a lease in milliseconds, from the heartbeat that its renewal answers. */
  readonly leaseMs: number;
  /**
   * The maximum age of the last complete read of the log in milliseconds, from the start of the
   * read. A node with an older read starts no attempts, and renews only those whose `onOutage` is
   * `keep`.
   */
  readonly staleMs: number;
}

/**
 * The factor by which waiting times are extended. The rates of the clocks of two machines may each
 * be off by one part in a hundred; real clocks differ by less than one part in a thousand.
 */
const CLOCK_DRIFT_FACTOR = 1.025;

/** Returns how long to wait on any clock so that `ms` have elapsed even on the slowest clock. */
export function withClockDrift(ms: number): number {
  return ms * CLOCK_DRIFT_FACTOR;
}
