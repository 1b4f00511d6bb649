import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RoundPacing } from '../internal/round-pacing.js';
import { steadyMs } from '../internal/delay.js';
import { MAX_ROUND_PAUSE_MS } from '../internal/timing.js';

/** Timers may be a little early against the steady clock, in milliseconds. */
const TIMER_MS = 2;

/** What the test itself may take, in milliseconds. */
const SLACK_MS = 300;

/** A round of so many milliseconds; returns how long after it the next one may begin. */
async function restAfter(roundMs: number): Promise<number> {
  const pacing = new RoundPacing(new AbortController().signal, () => {});
  pacing.roundDone(steadyMs() - roundMs);
  const endedMs = steadyMs();
  pacing.wake();
  await pacing.next(() => 0);
  return steadyMs() - endedMs;
}

test('after a round the node has as long for its other work, whoever asks for the next one', async () => {
  // Reports ask for a round all the time. Rounds that followed each other at once left a slow node
  // time for some twenty of 440 workers a second, and the leases of the others ended.
  assert.ok((await restAfter(80)) >= 80 - TIMER_MS);
  assert.ok((await restAfter(200)) >= 200 - TIMER_MS);
});

test('a very long round does not hold up the next one for as long', async () => {
  // A node that stood still for seconds in its round has to write its own record at once.
  const restMs = await restAfter(5_000);
  assert.ok(restMs < MAX_ROUND_PAUSE_MS + SLACK_MS, `${restMs} ms`);
});
