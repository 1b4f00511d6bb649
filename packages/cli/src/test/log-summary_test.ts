import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LogSummary } from '../internal/log-summary.js';

const WINDOW_MS = 10_000;

function summaryOf(lines: readonly string[]) {
  const logSummary = new LogSummary(WINDOW_MS);
  for (const text of lines) logSummary.add(text);
  return logSummary.summary();
}

function line(second: number, event: string, fields: string): string {
  const at = `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`;
  return `at=${at} level=info node=n1 event=${event} ${fields}`;
}

test('jobs count by outcome in the window in which they were accepted', () => {
  const accepted = ['a', 'b', 'c', 'd', 'f'].map((job) =>
    line(1, 'submit', `job=${job} queue=q outcome=stored`),
  );
  const { windows } = summaryOf([
    ...accepted,
    line(12, 'job-ended', 'job=a state=completed tookMs=900 objectiveMs=1000'),
    line(13, 'job-ended', 'job=b state=completed tookMs=1100 objectiveMs=1000'),
    line(14, 'job-ended', 'job=c state=failed tookMs=1 objectiveMs=1000'),
    line(15, 'submit', 'job=e queue=q outcome=not-run'),
    line(16, 'job-ended', 'job=f state=completed tookMs=3100 objectiveMs=1000 objective=missed'),
  ]);
  assert.equal(windows.length, 1);
  const { jobs, inTime, late, missed, failed, unfinished } = windows[0]!;
  assert.deepEqual([jobs, inTime, late, missed, failed, unfinished], [5, 1, 1, 1, 1, 1]);
});

test('waits and runs per task come from the bindings, and waits are grouped by cause', () => {
  const { windows, waits } = summaryOf([
    line(1, 'submit', 'job=a queue=q outcome=stored'),
    line(2, 'bound', 'task=a.0.0.0 run=1 waitMs=100 keptBy=slack'),
    line(3, 'bound', 'task=a.0.0.0 run=2 waitMs=300 keptBy=slack'),
    line(3, 'bound', 'task=a.0.0.1 run=1 waitMs=0 keptBy=none'),
  ]);
  assert.equal(windows[0]!.runsPerTask, 1.5);
  assert.equal(windows[0]!.waitP50Ms, 100);
  assert.deepEqual(
    waits.map(({ keptBy, bindings, waitP99Ms }) => [keptBy, bindings, waitP99Ms]),
    [
      ['none', 1, 0],
      ['slack', 2, 300],
    ],
  );
});

test('a stop that is sent again counts once, with the work lost by the first stop', () => {
  const { stops } = summaryOf([
    line(1, 'submit', 'job=a queue=q outcome=stored'),
    line(2, 'task-stop', 'task=a.0.0.0 run=1 reason=halted lostCpuMs=2000'),
    line(4, 'task-stop', 'task=a.0.0.0 run=1 reason=halted lostCpuMs=0'),
  ]);
  assert.deepEqual(stops, [{ queue: 'q', reason: 'halted', stops: 1, lostCpuS: 2 }]);
});

test('truncated and foreign lines are skipped and counted, and a prefix is ignored', () => {
  const complete = line(1, 'submit', 'job=a queue=q outcome=stored');
  const { lines, skipped, windows } = summaryOf([
    `n1 | ${complete}`,
    'Segmentation fault',
    line(2, 'bound', 'task=a.0.0'),
    complete.slice(0, 20),
    '',
  ]);
  assert.deepEqual([lines, skipped], [4, 3]);
  assert.equal(windows[0]!.jobs, 1);
});
