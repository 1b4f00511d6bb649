import type { TaskReport, WorkerReport } from '@redwingcrank/protocol';
import type { ControlFold, TaskState } from '../control-fold.js';

/** A command that a node should send to a worker about one attempt. */
export interface WorkerCommand {
  readonly type: 'start' | 'renew' | 'checkpoint' | 'stop';
  readonly task: Pick<TaskState, 'taskId' | 'attempt'>;
}

/** What the node may do now; determined after the worker took the report's heartbeat. */
export interface CommandPermit {
  /** Whether the node has caught up and is a member. */
  readonly member: boolean;
  /** Whether its last complete read of the log started less than `staleMs` ago. */
  readonly upToDate: boolean;
  /** Whether that read will soon be too old: attempts whose lease may expire should checkpoint. */
  readonly nearlyStale: boolean;
}

/**
 * Yields the commands that bring a worker to the state in the control stream, given its report. The
 * messages must carry the heartbeat and incarnation of the report, and may be sent at any later
 * time.
 */
export function* workerCommands(
  fold: ControlFold,
  report: WorkerReport,
  permit: CommandPermit,
): Generator<WorkerCommand, void> {
  if (!permit.member) return;
  const reported = new Map(report.tasks.map((seen) => [`${seen.taskId}#${seen.attempt}`, seen]));
  for (const taskId of fold.hosts.get(report.hostId)?.tasks ?? []) {
    const task = fold.tasks.get(taskId);
    if (task) yield* taskCommands(task, reported.get(`${taskId}#${task.attempt}`), report, permit);
  }
  yield* stopObsolete(fold, report);
}

function* taskCommands(
  task: TaskState,
  seen: TaskReport | undefined,
  report: WorkerReport,
  permit: CommandPermit,
): Generator<WorkerCommand, void> {
  if (task.state === 'revoked') {
    if (seen?.state === 'running' && task.kind === 'job') yield { type: 'checkpoint', task };
    if (!seen || seen.state === 'running') yield { type: 'stop', task };
  } else if (seen) {
    if (seen.state === 'running') yield* renewCommands(task, permit);
  } else if (mayStart(task, report, permit)) {
    yield { type: 'start', task };
  }
}

function* renewCommands(task: TaskState, permit: CommandPermit): Generator<WorkerCommand, void> {
  // Renewals by a node that does not receive revocations would extend a lease forever, and the task
  // could never be moved safely.
  if (!permit.upToDate && task.onOutage !== 'keep') return;
  yield { type: 'renew', task };
  if (permit.nearlyStale && task.onOutage !== 'keep') yield { type: 'checkpoint', task };
}

/**
 * Returns whether an unlisted attempt may be started. A running attempt that is no longer listed is
 * never started again, because it may have completed. An attempt of another incarnation may still
 * run unlisted, or may have ended; the next attempt replaces it. A node with an outdated fold could
 * start an attempt that ended long ago.
 */
function mayStart(task: TaskState, report: WorkerReport, permit: CommandPermit): boolean {
  if (task.state !== 'bound' || !permit.upToDate || report.orphans) return false;
  return task.incarnation === report.incarnation;
}

/** Stops attempts that the fold shows as ended or superseded, and leaves unknown ones alone. */
function* stopObsolete(fold: ControlFold, report: WorkerReport): Generator<WorkerCommand, void> {
  for (const seen of report.tasks) {
    const task = seen.state === 'running' ? fold.tasks.get(seen.taskId) : undefined;
    const hasEnded = task && task.attempt === seen.attempt && task.state === 'ended';
    if (task && (hasEnded || task.attempt > seen.attempt)) yield { type: 'stop', task: seen };
  }
}
