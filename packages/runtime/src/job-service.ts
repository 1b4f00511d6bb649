import type { Observable } from 'rxjs';
import { firstValueFrom, from, map, merge, race, timer } from 'rxjs';
import type {
  JobSpec,
  JobState,
  QueuePolicy,
  RetryAfter,
  UnstartedTasks,
} from '@redwingcrank/jobs';
import { isAlwaysAccepted, needsEvacuated, retryDelayMs, startBacklogMs } from '@redwingcrank/jobs';
import type { KeyedLog, KeyedWrite } from './keyed-log.js';
import { RecordsExpiredError, StoreUnavailableError } from './keyed-log.js';
import type { NodeLog } from './node-log.js';
import { AppendBatcher } from './internal/append-batcher.js';
import { encodeJob } from './internal/job-record.js';
import type { LeaderRecord } from './internal/work-records.js';
import { MEMORY_RETRY_MS, fitsInMemory, jobBytesOf, maxJobBytes } from './internal/job-memory.js';
import { MAX_KEY_BYTES, cancelKey, jobKey } from './internal/work-records.js';
import type { WorkTable } from './internal/work-table.js';
import { shownState } from './internal/work-table.js';
import { DelayRefusals } from './internal/delay-refusals.js';
import { UnreadJobs } from './internal/unread-jobs.js';
import { delay, steadyMs } from './internal/delay.js';

/**
 * The outcome of a submission, as reported to the caller.
 *
 * - `accepted`: the job is stored.
 * - `not-run`: nothing was stored, and nothing will be.
 * - `too-large`: no record can hold the job; it will never be stored.
 * - `conflict`: the id already belongs to another job.
 * - `unknown`: the job may have been stored; it may be submitted again with the same id.
 */
export type SubmitOutcome = 'accepted' | 'not-run' | 'too-large' | 'conflict' | 'unknown';

/** `unavailable`: the view of this node is too old for an answer, or the store cannot be used. */
export type CancelOutcome = 'cancelled' | 'no-such-job' | 'unavailable' | 'unknown';

export type StateAnswer = JobState | 'no-such-job' | 'unavailable';

/**
 * A view older than this is not sufficient to deny that a job exists, in milliseconds: well below
 * the time within which every node must know an accepted job.
 */
const MAX_VIEW_AGE_MS = 2_500;

/** Leader records older than this do not cause a job to be refused, in milliseconds. */
const MAX_REFUSAL_AGE_MS = 1_500;

/**
 * How many times a job is checked against the complete log of the jobs; after that, other jobs were
 * stored each time, and there are more callers than the leader can serve.
 */
const MAX_CHECKS = 4;

/** The pause before an unanswered append is repeated, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Whether a record is stored, and on what evidence. */
interface StoreResult {
  readonly outcome: 'stored' | 'not-run' | 'unknown';
  readonly reason: StoreReason;
  /** How many times the record was sent. */
  readonly sends: number;
}

/**
 * - `confirmed`: the store has confirmed the append.
 * - `store-lost`: nothing was sent because the store cannot be read.
 * - `withdrawn`: the store was lost, or the deadline passed, before the record was sent.
 * - `store-refused`: the store has refused the append.
 * - `lost-under-way`: the store was lost before it answered.
 * - `deadline`: the deadline passed before the store answered.
 * - `no-answer`: the connection ended without an answer, and the store is lost.
 * - `refused-after-loss`: the store refused the last append, but an earlier one has no answer.
 * - `start-backlog`: the leader would take too long to start the tasks of the jobs that are stored.
 */
type StoreReason =
  | 'confirmed'
  | 'store-lost'
  | 'withdrawn'
  | 'store-refused'
  | 'lost-under-way'
  | 'deadline'
  | 'no-answer'
  | 'refused-after-loss'
  | 'start-backlog';

/** The node's view of the logs of work, as the service uses it. */
export interface WorkView {
  readonly table: WorkTable;
  /** When the view was last known to be complete, on the steady clock. */
  readonly completeAsOfMs: number;
  /** The offset of the callers' log up to which it was read; undefined before it is loaded. */
  readonly nextJob: number | undefined;
  /** Whether the store cannot be read now. */
  readonly isLost: boolean;
  /** Emits when the store can no longer be read. */
  readonly lost$: Observable<void>;
}

/** The tasks of stored jobs that the leader has yet to start, as a submitted job finds them. */
interface StartBacklog extends UnstartedTasks {
  readonly aheadTasks: number;
  /** Whether no configured queue is more urgent than that of the job. */
  readonly isMostUrgent: boolean;
}

/** Returns the operators' settings of all queues. */
export type QueueList = () => readonly QueuePolicy[];

/** Submits, cancels and shows jobs; every node offers this service to its callers. */
export class JobService {
  readonly #view: WorkView;

  readonly #target: KeyedLog;

  readonly #batcher: AppendBatcher;

  readonly #unread: UnreadJobs;

  readonly #log: NodeLog;

  readonly #queues: QueueList;

  readonly #delayRefusals: DelayRefusals;

  readonly #maxRecordBytes: number;

  readonly #maxJobBytes: number;

  /** Jobs that were stored through this node and not yet read back. */
  readonly #justAccepted = new Map<string, JobSpec>();

  /**
   * `maxRecordBytes`: maximum size of a record of the store with its key; `maxBytes`: how much memory
   * all jobs together may take.
   */
  constructor(
    view: WorkView,
    target: KeyedLog,
    log: NodeLog,
    queues: QueueList,
    maxRecordBytes = Infinity,
    maxBytes = maxJobBytes(),
  ) {
    this.#view = view;
    this.#maxRecordBytes = maxRecordBytes;
    this.#maxJobBytes = maxBytes;
    this.#queues = queues;
    this.#target = target;
    this.#batcher = new AppendBatcher(target);
    this.#unread = new UnreadJobs(target);
    this.#log = log;
    this.#delayRefusals = new DelayRefusals(log);
    view.table.changes$.subscribe((change) => {
      if (change.kind === 'accepted') this.#justAccepted.delete(change.id);
    });
  }

  /**
   * Stores a job. A job that is submitted again with the same id remains one job: of repeated
   * records of one key only the first counts.
   */
  async submit(spec: JobSpec, deadlineMs: number): Promise<SubmitOutcome> {
    const arrivedMs = steadyMs();
    const known = this.#find(spec.id);
    if (known) return this.#repeatedOutcome(spec, known);
    const write = { key: jobKey(spec.id), value: encodeJob(spec) };
    const bytes = Buffer.byteLength(write.value);
    if (bytes > this.#maxRecordBytes - MAX_KEY_BYTES) {
      this.#log.emit('info', 'submit-bad', { job: spec.id, queue: spec.queue, bytes });
      return 'too-large';
    }
    const isLimited = !isAlwaysAccepted(spec) && this.#startsPerSecond !== undefined;
    const { outcome, reason, sends } = isLimited
      ? await this.#storeUnlessBacklog(spec, write, deadlineMs)
      : await this.#store(write, deadlineMs);
    if (outcome === 'stored' && !this.#view.table.jobs.has(spec.id)) {
      this.#justAccepted.set(spec.id, spec);
    }
    this.#log.emit('info', 'submit', {
      job: spec.id,
      queue: spec.queue,
      outcome,
      reason,
      sends,
      viewAgeMs: Math.round(steadyMs() - this.#view.completeAsOfMs),
      tookMs: Math.round(steadyMs() - arrivedMs),
      ...sizeOf(spec),
    });
    if (outcome === 'stored') return 'accepted';
    return outcome;
  }

  /**
   * Returns in how many milliseconds a caller should retry a job; undefined if the job can be
   * accepted now or is stored already.
   */
  retryDelayMs(spec: JobSpec, queue: QueuePolicy): number | undefined {
    const leaderAgeMs = steadyMs() - this.#view.table.leaderSeenMs;
    if (this.#find(spec.id)) return undefined;
    const idleMs = retryDelayMs(spec, queue, this.#refusals);
    const backlogMs = this.startBacklogMs(spec);
    const delayed = this.#delayRefusals.check(spec, queue, this.#recentLeader, steadyMs());
    const memoryMs = this.#memoryRetryMs(spec);
    const waitMs = Math.max(idleMs ?? 0, backlogMs ?? 0, delayed?.returnInMs ?? 0, memoryMs ?? 0);
    if (waitMs === 0) return undefined;
    const delayReason = idleMs === undefined ? 'work-backlog' : 'idle-jobs';
    const loadReason = backlogMs === undefined ? delayReason : 'start-backlog';
    const waitReason = memoryMs === undefined ? loadReason : 'memory';
    const { unstartedTasks, readyTasks, aheadTasks } = this.#startBacklog(spec.queue);
    this.#log.emit('info', 'submit', {
      job: spec.id,
      queue: spec.queue,
      outcome: 'not-run',
      reason: this.isEvacuated(spec, queue) ? 'evacuated' : waitReason,
      retryAfterMs: Math.round(waitMs),
      leaderAgeMs: Math.round(leaderAgeMs),
      unstartedTasks,
      readyTasks,
      aheadTasks,
      ...delayed?.fields,
      tookMs: 0,
      ...sizeOf(spec),
    });
    return waitMs;
  }

  /**
   * Returns in how many milliseconds a caller should retry a job because the jobs that are stored take
   * the memory that a node has for them; undefined if there is room. Each node checks this for itself,
   * as each of them may become the leader, which holds the tasks of all jobs.
   */
  #memoryRetryMs(spec: JobSpec): number | undefined {
    const usedBytes = this.#view.table.jobBytes + this.#justAcceptedBytes;
    return fitsInMemory(spec, usedBytes, this.#maxJobBytes) ? undefined : MEMORY_RETRY_MS;
  }

  /** What jobs that are not read back yet take in memory, in bytes. */
  get #justAcceptedBytes(): number {
    let bytes = 0;
    for (const spec of this.#justAccepted.values()) bytes += jobBytesOf(spec, false);
    return bytes;
  }

  /** Returns whether a job is refused because only evacuated data centres could run it. */
  isEvacuated(spec: JobSpec, queue: QueuePolicy): boolean {
    return needsEvacuated(spec, queue, this.#refusals);
  }

  /** When callers may retry, by what the leader refuses; empty if its record is old. */
  get #refusals(): RetryAfter {
    return this.#recentLeader?.retryAfterMs ?? {};
  }

  /** The leader's record; undefined if it is too old to refuse jobs. */
  get #recentLeader(): LeaderRecord | undefined {
    const { leader, leaderSeenMs } = this.#view.table;
    return steadyMs() - leaderSeenMs < MAX_REFUSAL_AGE_MS ? leader : undefined;
  }

  /**
   * Returns in how many milliseconds a caller should retry a job because the leader, short of
   * processor time, has too many tasks to start; undefined if it has not. This counts stored facts
   * alone, and so holds while the leader is silent or has just been replaced.
   */
  startBacklogMs(spec: JobSpec): number | undefined {
    const startsPerSecond = this.#startsPerSecond;
    if (startsPerSecond === undefined || isAlwaysAccepted(spec)) return undefined;
    const backlog = this.#startBacklog(spec.queue);
    return startBacklogMs(backlog, startsPerSecond, backlog.isMostUrgent);
  }

  async cancel(id: string, queue: string, deadlineMs: number): Promise<CancelOutcome> {
    const known = this.#find(id);
    if (known?.queue !== queue) {
      if (known || this.#isUpToDate()) return 'no-such-job';
      return 'unavailable';
    }
    const write = { key: cancelKey(id), value: '1' };
    const { outcome, reason, sends } = await this.#store(write, deadlineMs);
    this.#log.emit('info', 'cancel', { job: id, queue, outcome, reason, sends });
    if (outcome === 'stored') return 'cancelled';
    return outcome === 'not-run' ? 'unavailable' : 'unknown';
  }

  state(id: string, queue: string): StateAnswer {
    const job = this.#view.table.jobs.get(id);
    if (job && job.spec.queue === queue) return shownState(job);
    if (this.#justAccepted.get(id)?.queue === queue) return 'queued';
    return this.#isUpToDate() ? 'no-such-job' : 'unavailable';
  }

  /**
   * Returns the number of jobs of a queue that have not started; undefined if the view is too old.
   */
  pending(queue: string): number | undefined {
    return this.#isUpToDate() ? this.#view.table.pending(queue) : undefined;
  }

  /**
   * Counts the tasks of stored jobs that the leader has yet to start: all of them, and those of queues
   * that are not less urgent than the given one, which it starts first.
   */
  #startBacklog(queueName: string): StartBacklog {
    const priorities = new Map(this.#queues().map(({ name, priority }) => [name, priority]));
    // Without its settings, a job counts as less urgent than any other.
    const own = priorities.get(queueName) ?? Infinity;
    const { table, nextJob = 0 } = this.#view;
    let [unstartedTasks, readyTasks, aheadTasks] = [0, 0, 0];
    for (const jobs of [table.unstarted(), this.#unread.unstarted(nextJob)]) {
      for (const job of jobs) {
        unstartedTasks += job.unstartedTasks;
        readyTasks += job.readyTasks;
        if ((priorities.get(job.queue) ?? own) <= own) aheadTasks += job.unstartedTasks;
      }
    }
    const isMostUrgent = Math.min(...priorities.values()) >= own;
    return { unstartedTasks, readyTasks, aheadTasks, isMostUrgent };
  }

  get #startsPerSecond(): number | undefined {
    return this.#view.table.leader?.startsPerSecond;
  }

  #find(id: string): JobSpec | undefined {
    return this.#view.table.jobs.get(id)?.spec ?? this.#justAccepted.get(id);
  }

  /**
   * Whether records may be sent to the store. Without the store nothing can be accepted, and the
   * caller should try another node immediately. A record that was sent without an answer may still
   * be stored, so its caller could not be told that the job has not run; and until its deadline,
   * further records would wait behind it even if the store has recovered. Therefore nothing is sent
   * from the first failed read until a read succeeds.
   */
  #canStore(): boolean {
    return !this.#view.isLost && this.#isUpToDate();
  }

  #isUpToDate(): boolean {
    return steadyMs() - this.#view.completeAsOfMs < MAX_VIEW_AGE_MS;
  }

  #repeatedOutcome(spec: JobSpec, known: JobSpec): SubmitOutcome {
    const isSame =
      spec.queue === known.queue &&
      spec.payload === known.payload &&
      JSON.stringify(spec.steps) === JSON.stringify(known.steps);
    this.#log.emit('info', 'submit-repeated', { job: spec.id, queue: spec.queue, same: isSame });
    return isSame ? 'accepted' : 'conflict';
  }

  /**
   * Stores a job unless the leader has too many tasks to start. Each check is based on all jobs that
   * are stored: the append fails if another one was stored after them.
   */
  async #storeUnlessBacklog(
    spec: JobSpec,
    write: KeyedWrite,
    deadlineMs: number,
  ): Promise<StoreResult> {
    for (let sends = 0; sends < MAX_CHECKS; sends += 1) {
      const at = await this.#endOfJobs(deadlineMs);
      if (at === undefined) return { outcome: 'not-run', reason: 'store-lost', sends };
      if (this.startBacklogMs(spec) !== undefined) break;
      const append = this.#target.append([write], { at });
      const result = await this.#untilLost(append, deadlineMs);
      if (typeof result === 'string')
        return { outcome: 'unknown', reason: result, sends: sends + 1 };
      switch (result.outcome) {
        case 'appended':
          return { outcome: 'stored', reason: 'confirmed', sends: sends + 1 };
        case 'refused':
        case 'rejected':
          return { outcome: 'not-run', reason: 'store-refused', sends: sends + 1 };
        case 'moved':
          break;
        default:
          // The job may be stored, so it can be refused no more.
          return this.#store(write, deadlineMs, sends + 1);
      }
    }
    return { outcome: 'not-run', reason: 'start-backlog', sends: 0 };
  }

  /** Returns the end of the callers' log after reading up to it; undefined if it cannot be read. */
  async #endOfJobs(deadlineMs: number): Promise<number | undefined> {
    const { nextJob } = this.#view;
    if (nextJob === undefined || !this.#canStore()) return undefined;
    try {
      const end = await this.#untilLost(this.#unread.read(nextJob), deadlineMs);
      return typeof end === 'string' ? undefined : end;
    } catch (err) {
      if (err instanceof StoreUnavailableError || err instanceof RecordsExpiredError)
        return undefined;
      throw err;
    }
  }

  /** Waits for a result until the store is lost or the deadline passes. */
  #untilLost<T>(
    result: Promise<T>,
    deadlineMs: number,
  ): Promise<T | 'lost-under-way' | 'deadline'> {
    const lost = this.#view.lost$.pipe(map(() => 'lost-under-way' as const));
    const late = timer(deadlineMs - steadyMs()).pipe(map(() => 'deadline' as const));
    return firstValueFrom(race(from(result), merge(lost, late)));
  }

  /**
   * Stores one record, with retries until the deadline while there is no answer. Returns `not-run`
   * only if the store refused every attempt or none was sent; `formerSends` attempts had no answer.
   */
  async #store(write: KeyedWrite, deadlineMs: number, formerSends = 0): Promise<StoreResult> {
    let sends = formerSends;
    if (!this.#canStore()) {
      if (sends > 0) return { outcome: 'unknown', reason: 'no-answer', sends };
      return { outcome: 'not-run', reason: 'store-lost', sends };
    }
    while (steadyMs() < deadlineMs) {
      // Once the store is lost, a longer wait would only keep the caller from trying another node.
      const append = this.#batcher.append(write);
      const result = await this.#untilLost(append.result, deadlineMs);
      if (typeof result === 'string') {
        // A record that is sent later, after an outage, could be stored although its caller has
        // given up.
        if (!append.withdraw()) return { outcome: 'unknown', reason: result, sends: sends + 1 };
        return { outcome: sends > 0 ? 'unknown' : 'not-run', reason: 'withdrawn', sends };
      }
      sends += 1;
      if (result.outcome === 'appended') return { outcome: 'stored', reason: 'confirmed', sends };
      if (result.outcome === 'refused' || result.outcome === 'rejected') {
        if (sends > 1) return { outcome: 'unknown', reason: 'refused-after-loss', sends };
        return { outcome: 'not-run', reason: 'store-refused', sends };
      }
      if (this.#view.isLost) return { outcome: 'unknown', reason: 'no-answer', sends };
      await delay(RETRY_PAUSE_MS, new AbortController().signal);
    }
    return { outcome: 'unknown', reason: 'deadline', sends };
  }
}

function sizeOf({ steps }: JobSpec): { steps: number; tasks: number } {
  return { steps: steps.length, tasks: steps.reduce((sum, { taskCount }) => sum + taskCount, 0) };
}
