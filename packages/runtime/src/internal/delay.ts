import { setTimeout as sleep } from 'node:timers/promises';

/** Waits, or returns early when the signal is given; never throws. */
export async function delay(ms: number, signal: AbortSignal): Promise<void> {
  try {
    await sleep(ms, undefined, { signal });
  } catch (err) {
    // An abort is how a waiting loop is told to look around.
    if (!signal.aborted) throw err;
  }
}

/** The steady clock, in milliseconds. */
export function steadyMs(): number {
  return performance.now();
}
