import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Pause, delay, steadyMs } from '../internal/delay.js';

/** Longer than any test may take, in milliseconds: such a wait must be ended early. */
const LONG_MS = 60_000;

const SHORT_MS = 30;

/** How early timers may fire against the steady clock, in milliseconds. */
const TIMER_SLACK_MS = 2;

test('a pause lasts for the requested time unless it is ended early', async () => {
  const pause = new Pause();
  const startMs = steadyMs();
  await pause.wait(SHORT_MS);
  assert.ok(steadyMs() - startMs >= SHORT_MS - TIMER_SLACK_MS);
  const waiting = pause.wait(LONG_MS);
  pause.end();
  await waiting;
});

test('ending a pause while nothing waits does not shorten the next pause', async () => {
  // A leader may be woken while its round still runs, and remembers that elsewhere. Guards against
  // the same wake-up ending the next pause too: every round would be followed by an idle one.
  const pause = new Pause();
  const first = pause.wait(LONG_MS);
  pause.end();
  pause.end();
  await first;
  pause.end();
  const startMs = steadyMs();
  await pause.wait(SHORT_MS);
  assert.ok(steadyMs() - startMs >= SHORT_MS - TIMER_SLACK_MS);
});

test('the timer of a pause that was ended early does not end a later pause', async () => {
  const pause = new Pause();
  const first = pause.wait(SHORT_MS);
  pause.end();
  await first;
  const startMs = steadyMs();
  await pause.wait(3 * SHORT_MS);
  assert.ok(steadyMs() - startMs >= 3 * SHORT_MS - TIMER_SLACK_MS);
});

test('a delay resolves when its signal is aborted, or at once if it already was', async () => {
  const stopping = new AbortController();
  const waiting = delay(LONG_MS, stopping.signal);
  stopping.abort();
  await waiting;
  await delay(LONG_MS, stopping.signal);
});
