import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RoundPacing } from '../internal/round-pacing.js';
import { steadyMs } from '../internal/delay.js';
import { MAX_ROUND_PAUSE_MS } from '../internal/timing.js';

/** How early timers may fire against the steady clock, in milliseconds. */
const TIMER_SLACK_MS = 2;

/** Time that the test itself may take, in milliseconds. */
const TEST_OVERHEAD_MS = 300;

/** Simulates a round of the given length; returns how long after it the next one starts. */
async function pauseAfterRound(roundMs: number): Promise<number> {
  const pacing = new RoundPacing(new AbortController().signal, () => {});
  pacing.roundDone(steadyMs() - roundMs);
  const endedMs = steadyMs();
  pacing.wake();
  await pacing.next(() => 0);
  return steadyMs() - endedMs;
}

test('after a round the node has as much time for other work, even if another round is requested', async () => {
  // Reports of workers request rounds all the time. Guards against rounds that follow each other at
  // once: a slow node then has time for some 20 of 440 workers a second, and the leases of the
  // others expire.
  assert.ok((await pauseAfterRound(80)) >= 80 - TIMER_SLACK_MS);
  assert.ok((await pauseAfterRound(200)) >= 200 - TIMER_SLACK_MS);
});

test('the pause after a very long round is limited', async () => {
  // A node whose round took seconds must write its own record at once.
  const restMs = await pauseAfterRound(5_000);
  assert.ok(restMs < MAX_ROUND_PAUSE_MS + TEST_OVERHEAD_MS, `${restMs} ms`);
});
