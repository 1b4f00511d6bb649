import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MIN_START_WINDOW_MS, START_WINDOW_MS, withClockDrift } from '../internal/timing.js';
import { StartViews } from '../internal/start-views.js';

const ms = (max: number): fc.Arbitrary<number> => fc.double({ min: 0, max, noNaN: true });

test('no start takes effect later than what it may not know allows, whenever it is sent', () => {
  // A worker leaves, or a job is cancelled, just after the node has read that nothing has. The start that
  // the node sends by that, at any time after it, is over on the slowest clock of a worker before the
  // bound is; and none is sent that the worker would refuse for want of time.
  fc.assert(
    fc.property(
      fc.record({ workers: ms(10_000), jobs: ms(10_000), drain: ms(5_000), cancel: ms(6_000) }),
      ({ workers, jobs, drain, cancel }) => {
        const sentMs = 10_000;
        const { signal } = new AbortController();
        const bounds = { drainMs: drain, cancelMs: cancel };
        const views = new StartViews(
          { completeAsOfMs: workers },
          { jobsCompleteAsOfMs: jobs },
          bounds,
          signal,
        );
        const windowMs = views.windowMs(sentMs);
        assert.ok(Number.isInteger(windowMs) && windowMs <= START_WINDOW_MS);
        if (windowMs === 0) return;
        assert.ok(windowMs >= MIN_START_WINDOW_MS);
        const overMs = sentMs + withClockDrift(windowMs);
        assert.ok(overMs <= workers + drain && overMs <= jobs + cancel);
      },
    ),
  );
});

test('by a list that was never read to its end nothing starts', () => {
  const { signal } = new AbortController();
  const bounds = { drainMs: 2_000, cancelMs: 3_000 };
  const views = new StartViews(
    { completeAsOfMs: -Infinity },
    { jobsCompleteAsOfMs: 0 },
    bounds,
    signal,
  );
  assert.equal(views.windowMs(0), 0);
});
