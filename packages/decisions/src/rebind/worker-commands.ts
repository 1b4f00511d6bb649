import type { TaskReport, WorkerReport } from '@redwingcrank/protocol';
import type { ControlFold, TaskState } from '../control-fold.js';

/** What a node should tell a worker about one attempt. */
export interface WorkerCommand {
  readonly type: 'start' | 'renew' | 'checkpoint' | 'stop';
  readonly task: Pick<TaskState, 'taskId' | 'attempt'>;
}

/** What the node may do at this moment; judged after the report's heartbeat was taken. */
export interface CommandPermit {
  /** Whether the node has caught up and is a member. */
  readonly member: boolean;
  /** Whether its last whole read of the log began less than the bound ago. */
  readonly upToDate: boolean;
  /** Whether that read will soon be too old: what may lapse is worth a checkpoint now. */
  readonly nearlyStale: boolean;
}

/**
 * What brings a worker to what the control stream says, given its report. The messages must
 * carry the report's heartbeat and incarnation, and may be sent at any later time.
 */
export function* workerCommands(
  fold: ControlFold,
  report: WorkerReport,
  permit: CommandPermit,
): Generator<WorkerCommand, void> {
  if (!permit.member) return;
  const listed = new Map(report.tasks.map((seen) => [`${seen.taskId}#${seen.attempt}`, seen]));
  for (const taskId of fold.hosts.get(report.hostId)?.tasks ?? []) {
    const task = fold.tasks.get(taskId);
    if (task) yield* tendTask(task, listed.get(`${taskId}#${task.attempt}`), report, permit);
  }
  yield* stopSurplus(fold, report);
}

function* tendTask(
  task: TaskState,
  seen: TaskReport | undefined,
  report: WorkerReport,
  permit: CommandPermit,
): Generator<WorkerCommand, void> {
  if (task.state === 'revoked') {
    if (seen?.state === 'running' && task.kind === 'job') yield { type: 'checkpoint', task };
    if (!seen || seen.state === 'running') yield { type: 'stop', task };
  } else if (seen) {
    if (seen.state === 'running') yield* renew(task, permit);
  } else if (mayStart(task, report, permit)) {
    yield { type: 'start', task };
  }
}

function* renew(task: TaskState, permit: CommandPermit): Generator<WorkerCommand, void> {
  // A renewal by a node that cannot hear of revocations would make a lease last for ever, and
  // the task could then never move safely.
  if (!permit.upToDate && task.onOutage !== 'keep') return;
  yield { type: 'renew', task };
  if (permit.nearlyStale && task.onOutage !== 'keep') yield { type: 'checkpoint', task };
}

/**
 * A running attempt that is no longer listed is never started again: it may have run to its
 * end. An attempt of another incarnation may be running unlisted, or over: its place is taken by
 * the next attempt. A node with an old fold could start what has long been over.
 */
function mayStart(task: TaskState, report: WorkerReport, permit: CommandPermit): boolean {
  if (task.state !== 'bound' || !permit.upToDate || report.orphans) return false;
  return task.incarnation === report.incarnation;
}

/** Stops what the fold knows to be over; of what it does not know yet it says nothing. */
function* stopSurplus(fold: ControlFold, report: WorkerReport): Generator<WorkerCommand, void> {
  for (const seen of report.tasks) {
    const task = seen.state === 'running' ? fold.tasks.get(seen.taskId) : undefined;
    const over = task && task.attempt === seen.attempt && task.state === 'ended';
    if (task && (over || task.attempt > seen.attempt)) yield { type: 'stop', task: seen };
  }
}
