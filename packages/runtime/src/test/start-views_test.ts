import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MIN_START_WINDOW_MS, START_WINDOW_MS, withClockDrift } from '../internal/timing.js';
import { StartViews } from '../internal/start-views.js';

const ms = (max: number): fc.Arbitrary<number> => fc.double({ min: 0, max, noNaN: true });

test('every start expires within the bounds that count from when the views were last complete', () => {
  // A worker leaves, a job is cancelled or a data centre is evacuated just after the leader last read
  // the logs. A start that it sends after that must expire before the bound even on the slowest clock
  // of a worker, and no start is sent that a worker would refuse because too little time is left.
  fc.assert(
    fc.property(
      fc.record({
        workers: ms(10_000),
        jobs: ms(10_000),
        operators: ms(10_000),
        drain: ms(5_000),
        cancel: ms(6_000),
        evacuate: ms(6_000),
      }),
      ({ workers, jobs, operators, drain, cancel, evacuate }) => {
        const sentMs = 10_000;
        const { signal } = new AbortController();
        const bounds = { drainMs: drain, cancelMs: cancel, evacuateMs: evacuate };
        const views = new StartViews(
          {
            workers: { completeAsOfMs: workers },
            work: { jobsCompleteAsOfMs: jobs },
            operators: { completeAsOfMs: operators },
          },
          bounds,
          signal,
        );
        const windowMs = views.windowMs(sentMs);
        assert.ok(Number.isInteger(windowMs) && windowMs <= START_WINDOW_MS);
        if (windowMs === 0) return;
        assert.ok(windowMs >= MIN_START_WINDOW_MS);
        const expiredMs = sentMs + withClockDrift(windowMs);
        assert.ok(expiredMs <= workers + drain && expiredMs <= jobs + cancel);
        assert.ok(expiredMs <= operators + evacuate);
      },
    ),
  );
});

/** Views of which each was complete at the given time, 0 unless stated. */
function viewsOf({ workersMs = 0, operatorsMs = 0 }): StartViews {
  return new StartViews(
    {
      workers: { completeAsOfMs: workersMs },
      work: { jobsCompleteAsOfMs: 0 },
      operators: { completeAsOfMs: operatorsMs },
    },
    { drainMs: 2_000, cancelMs: 3_000, evacuateMs: 5_000 },
    new AbortController().signal,
  );
}

test('no start is sent while the list of workers was never read to its end', () => {
  assert.ok(viewsOf({}).windowMs(0) > 0);
  assert.equal(viewsOf({ workersMs: -Infinity }).windowMs(0), 0);
});

test("no start is sent while the operators' requests were never read to their end", () => {
  assert.equal(viewsOf({ operatorsMs: -Infinity }).windowMs(0), 0);
});
