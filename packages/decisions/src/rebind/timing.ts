/** The times on which rebinding rests. All nodes of a data centre must be given the same. */
export interface LeaseTiming {
  /** How long a lease lasts from the heartbeat that its renewal answers, in milliseconds. */
  readonly leaseMs: number;
  /**
   * A node whose last whole read of the log began longer ago starts nothing, and renews no
   * attempt whose task may lapse in an outage. In milliseconds.
   */
  readonly staleMs: number;
}

/**
 * Clocks of two machines may differ in rate by one part in a hundred each; what one of them has
 * to wait out is stretched by this factor. Real clocks differ by less than one in a thousand.
 */
const CLOCK_STRETCH = 1.025;

/** How long to wait, on any clock, for `ms` to have surely passed on every other clock. */
export function withClockDrift(ms: number): number {
  return ms * CLOCK_STRETCH;
}
