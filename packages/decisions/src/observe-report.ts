import type { PolledReport, ControlAction, TaskReport, WorkerReport } from '@redwingcrank/protocol';
import type { ControlFold, TaskState } from './control-fold.js';

/**
 * Yields the actions that follow from a worker's report. Reports may be late, repeated or out of
 * order. A report that an attempt has ended remains true forever. Conclusions from an attempt that
 * is not listed, or from the worker's incarnation, are valid only if the report was requested after
 * the record it is compared with: an older report describes an earlier state, and would end an
 * attempt that has only just been started.
 */
export function* observeReport(
  fold: ControlFold,
  { askedOffset, report }: PolledReport,
): Generator<ControlAction, void> {
  const host = fold.hosts.get(report.hostId);
  if (!host) return;
  const { hostId, incarnation } = report;
  if (host.incarnation !== incarnation && askedOffset >= host.incarnationOffset) {
    yield { type: 'worker', hostId, incarnation };
  }
  const reported = new Map(report.tasks.map((seen) => [`${seen.taskId}#${seen.attempt}`, seen]));
  for (const taskId of host.tasks) {
    const task = fold.tasks.get(taskId);
    const seen = task && reported.get(`${taskId}#${task.attempt}`);
    if (seen) yield* observeListed(task, seen, { askedOffset, report });
    else if (task && askedOffset >= task.offset) yield* observeUnlisted(task, report);
  }
}

function* observeListed(
  task: TaskState,
  seen: TaskReport,
  { askedOffset, report }: PolledReport,
): Generator<ControlAction, void> {
  const { taskId, attempt } = task;
  const { endpoint, checkpoint, lostMs, state } = seen;
  if (state !== 'running') {
    // A restarted worker that is told to stop an attempt it does not know reports it as stopped,
    // although an orphan of the earlier incarnation may still run.
    if (report.orphans && report.incarnation !== task.incarnation) return;
    yield {
      type: 'ended',
      taskId,
      attempt,
      outcome: state,
      proof: 'worker',
      checkpoint,
      lostMs,
    };
    return;
  }
  // The checkpoint of an older report must not replace a newer one.
  const changed = checkpoint !== task.checkpoint && checkpoint !== undefined;
  const newCheckpoint = changed && askedOffset >= task.offset && task.state === 'running';
  if (task.state === 'bound' || newCheckpoint) {
    yield { type: 'running', taskId, attempt, endpoint, checkpoint };
  }
}

/**
 * Yields the actions for an attempt that the report does not list. An attempt may be started only
 * in the incarnation it was bound for. If a later incarnation does not list it and reports that it
 * has no orphans, that is, no unlisted tasks, the attempt has ended and will never start.
 */
function* observeUnlisted(task: TaskState, report: WorkerReport): Generator<ControlAction, void> {
  const { taskId, attempt } = task;
  const restarted = task.incarnation !== undefined && task.incarnation !== report.incarnation;
  if (restarted && !report.orphans) {
    yield { type: 'ended', taskId, attempt, outcome: 'lapsed', proof: 'worker' };
  } else if (task.state === 'running') {
    yield { type: 'revoke', taskId, attempt, reason: 'the worker no longer knows it' };
  }
}
