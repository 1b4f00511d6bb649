import assert from 'node:assert/strict';
import { delay, steadyMs } from '../internal/delay.js';

/** Timeout of `waitUntil`, in milliseconds. */
const WAIT_TIMEOUT_MS = 3_000;

/** Waits for the given time, in milliseconds. */
export const pause = (ms: number): Promise<void> => delay(ms, new AbortController().signal);

/** Waits until the condition holds; fails the test where it does not hold within 3 s. */
export async function waitUntil(holds: () => boolean): Promise<void> {
  for (const endMs = steadyMs() + WAIT_TIMEOUT_MS; !holds(); await pause(5)) {
    assert.ok(steadyMs() < endMs, 'timed out waiting for a condition');
  }
}
