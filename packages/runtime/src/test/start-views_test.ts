import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MIN_START_WINDOW_MS, START_WINDOW_MS, surelyOverMs } from '../internal/timing.js';
import { StartViews } from '../internal/start-views.js';

const ms = (max: number): fc.Arbitrary<number> => fc.double({ min: 0, max, noNaN: true });

test('every start expires within the bounds that count from when the views were last complete', () => {
  // A worker leaves, or a job is cancelled, just after the leader last read the logs. A start that the
  // leader sends after that must expire before the bound even on the slowest clock of a worker, and no
  // start is sent that a worker would refuse because too little time is left.
  fc.assert(
    fc.property(
      fc.record({ workers: ms(10_000), jobs: ms(10_000), drain: ms(5_000), cancel: ms(6_000) }),
      ({ workers, jobs, drain, cancel }) => {
        const sentMs = 10_000;
        const { signal } = new AbortController();
        const bounds = { drainMs: drain, cancelMs: cancel };
        const views = new StartViews({ freshMs: workers }, { jobsFreshMs: jobs }, bounds, signal);
        const windowMs = views.windowMs(sentMs);
        assert.ok(Number.isInteger(windowMs) && windowMs <= START_WINDOW_MS);
        if (windowMs === 0) return;
        assert.ok(windowMs >= MIN_START_WINDOW_MS);
        const expiredMs = sentMs + surelyOverMs(windowMs);
        assert.ok(expiredMs <= workers + drain && expiredMs <= jobs + cancel);
      },
    ),
  );
});

test('no start is sent while the list of workers was never read to its end', () => {
  const { signal } = new AbortController();
  const bounds = { drainMs: 2_000, cancelMs: 3_000 };
  const views = new StartViews({ freshMs: -Infinity }, { jobsFreshMs: 0 }, bounds, signal);
  assert.equal(views.windowMs(0), 0);
});
