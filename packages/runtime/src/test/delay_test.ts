import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Pause, delay, steadyMs } from '../internal/delay.js';

/** Longer than any test may take, in milliseconds: only an early end gets past it. */
const LONG_MS = 60_000;

const SHORT_MS = 30;

/** Timers may fire a little early by the steady clock, in milliseconds. */
const TIMER_SLACK_MS = 2;

test('a pause lasts as long as asked, unless it is ended early', async () => {
  const pause = new Pause();
  const fromMs = steadyMs();
  await pause.wait(SHORT_MS);
  assert.ok(steadyMs() - fromMs >= SHORT_MS - TIMER_SLACK_MS);
  const waiting = pause.wait(LONG_MS);
  pause.end();
  await waiting;
});

test('an end that finds nobody waiting does not shorten the next pause', async () => {
  // A leader's round is woken while it decides. It remembers that by itself; the pause of the round
  // after it must not be cut short by the same word, or every round would be followed by an idle one.
  const pause = new Pause();
  const first = pause.wait(LONG_MS);
  pause.end();
  pause.end();
  await first;
  pause.end();
  const fromMs = steadyMs();
  await pause.wait(SHORT_MS);
  assert.ok(steadyMs() - fromMs >= SHORT_MS - TIMER_SLACK_MS);
});

test('an ended pause leaves no timer behind that ends a later one', async () => {
  const pause = new Pause();
  const first = pause.wait(SHORT_MS);
  pause.end();
  await first;
  const fromMs = steadyMs();
  await pause.wait(3 * SHORT_MS);
  assert.ok(steadyMs() - fromMs >= 3 * SHORT_MS - TIMER_SLACK_MS);
});

test('a delay ends with its signal, also with one that was given before, and never fails', async () => {
  const stopping = new AbortController();
  const waiting = delay(LONG_MS, stopping.signal);
  stopping.abort();
  await waiting;
  await delay(LONG_MS, stopping.signal);
});
