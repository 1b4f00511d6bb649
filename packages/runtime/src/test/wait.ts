import assert from 'node:assert/strict';
import { delay, steadyMs } from '../internal/delay.js';

/** How long a test waits at most for what must happen, in milliseconds. */
const UNTIL_MS = 3_000;

/** Waits so long. */
export const pause = (ms: number): Promise<void> => delay(ms, new AbortController().signal);

/** Waits until something holds; fails where it does not come to. */
export async function waitUntil(holds: () => boolean): Promise<void> {
  for (const endMs = steadyMs() + UNTIL_MS; !holds(); await pause(5)) {
    assert.ok(steadyMs() < endMs, 'waited in vain');
  }
}
