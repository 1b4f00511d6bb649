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
