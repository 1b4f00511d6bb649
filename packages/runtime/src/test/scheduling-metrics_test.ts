import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeMetrics } from '../internal/node-metrics.js';
import { NODE_STATE } from './fixtures.js';
import { NodeLog } from '../node-log.js';

test('waits are counted by what delayed the tasks, stops and lost work by reason', async () => {
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => NODE_STATE);
  log.emit('info', 'bound', { task: 'a.0.0.0', run: 1, waitMs: 700, keptBy: 'slack' });
  log.emit('info', 'task-stop', { task: 'a.0.0.0', run: 1, reason: 'halted', lostCpuMs: 1_500 });
  log.emit('info', 'task-stop', { task: 'a.0.0.0', run: 1, reason: 'halted', lostCpuMs: 0 });
  const text = await metrics.text();
  assert.match(text, /redwingcrank_task_wait_seconds_sum\{kept_by="slack"\} 0\.7/);
  assert.match(text, /redwingcrank_task_stops_total\{reason="halted"\} 2/);
  assert.match(text, /redwingcrank_lost_cpu_seconds_total\{reason="halted"\} 1\.5/);
});

test('completed jobs are counted by queue and by whether they met their objective', async () => {
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => NODE_STATE);
  log.emit('info', 'job-ended', { job: 'a', queue: 'q', state: 'completed', objective: 'late' });
  log.emit('info', 'job-ended', { job: 'b', queue: 'q', state: 'cancelled' });
  const text = await metrics.text();
  assert.match(text, /redwingcrank_job_objectives_total\{queue="q",objective="late"\} 1\n/);
  assert.doesNotMatch(text, /job_objectives_total\{queue="q",objective="undefined"/);
});

test('workers with delegated renewals are counted by outcome, and grants are reported by the leader', async () => {
  // Guards against an event whose fields and metrics no longer agree.
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => NODE_STATE);
  log.emit('info', 'term-load', { leaseGrants: 62 });
  const done = { reason: 'messages', renewed: 60, refused: 0, silent: 2 };
  log.emit('info', 'delegate-done', done);
  const text = await metrics.text();
  assert.match(text, /redwingcrank_delegated_renewals_total\{outcome="renewed"\} 60\n/);
  assert.match(text, /redwingcrank_delegated_renewals_total\{outcome="silent"\} 2\n/);
  assert.match(text, /redwingcrank_lease_grants 62\n/);
});

test('the reserve for urgent tasks is shown by pool, priority and size class until the term ends', async () => {
  // Guards against a former leader that still reports a reserve, which would then be counted twice.
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => NODE_STATE);
  const fields = { pool: 'p', priority: 0, sizeMilli: 8_192, tasks: 3, freeTasks: 7 };
  log.emit('info', 'urgent-reserve', fields);
  log.emit('info', 'urgent-reserve', { ...fields, sizeMilli: 1_024 });
  log.emit('info', 'urgent-reserve', { ...fields, sizeMilli: 1_024, tasks: 0 });
  const line = /urgent_reserve_milli\{pool="p",priority="0",size_milli="8192"\} 24576\n/;
  assert.match(await metrics.text(), line);
  assert.doesNotMatch(await metrics.text(), /size_milli="1024"/);
  log.emit('info', 'term-end', { epoch: 1 });
  assert.doesNotMatch(await metrics.text(), line);
});

test('copies of tasks are counted by reason, and those that ended first', async () => {
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => NODE_STATE);
  log.emit('info', 'copy-started', { task: 'a.0.0.0', run: 2, reason: 'slow' });
  log.emit('info', 'copy-ended', { task: 'a.0.0.0', run: 1, first: 'first-run' });
  log.emit('info', 'copy-ended', { task: 'a.0.0.1', run: 2, first: 'copy' });
  const text = await metrics.text();
  assert.match(text, /redwingcrank_copies_total\{reason="slow"\} 1\n/);
  assert.match(text, /redwingcrank_copies_won_total 1\n/);
});
