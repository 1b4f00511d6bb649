import type { Observable } from 'rxjs';
import { firstValueFrom, from, map, merge, race, timer } from 'rxjs';
import type { JobSpec, JobState, QueuePolicy } from '@redwingcrank/jobs';
import { retryDelayMs } from '@redwingcrank/jobs';
import type { KeyedLog, KeyedWrite } from './keyed-log.js';
import type { NodeLog } from './node-log.js';
import { AppendBatcher } from './internal/append-batcher.js';
import { encodeJob } from './internal/job-record.js';
import { cancelKey, jobKey } from './internal/work-records.js';
import type { WorkTable } from './internal/work-table.js';
import { shownState } from './internal/work-table.js';
import { delay, steadyMs } from './internal/delay.js';

/**
 * What a caller is told.
 *
 * - `accepted`: it is stored.
 * - `not-run`: nothing was stored, and nothing will be.
 * - `conflict`: the id stands for another job already.
 * - `unknown`: it may have been stored; the same id may be sent again.
 */
export type SubmitOutcome = 'accepted' | 'not-run' | 'conflict' | 'unknown';

/** `unavailable`: this node does not know enough to answer. */
export type CancelOutcome = 'cancelled' | 'no-such-job' | 'unavailable' | 'unknown';

export type StateAnswer = JobState | 'no-such-job' | 'unavailable';

/**
 * A view older than this is not enough to deny a job, in milliseconds: well under the time after
 * which an accepted job must be known everywhere.
 */
const MAX_VIEW_AGE_MS = 2_500;

/** An older record of the scheduling node keeps no job out, in milliseconds. */
const MAX_REFUSAL_AGE_MS = 1_500;

/** The pause before an unanswered append is repeated, in milliseconds. */
const REPEAT_MS = 50;

/** Whether a record is stored, and what says so. */
interface StoreResult {
  readonly outcome: 'stored' | 'not-run' | 'unknown';
  readonly reason: StoreReason;
  /** How often the record was sent. */
  readonly sends: number;
}

/**
 * - `confirmed`: the store has answered that it is stored.
 * - `store-lost`: nothing was sent, as the store cannot be read.
 * - `withdrawn`: the store was lost, or the time was over, before it was its turn to be sent.
 * - `store-refused`: the store has answered that it did nothing.
 * - `lost-under-way`: the store was lost before it answered.
 * - `deadline`: the time was over before it answered.
 * - `no-answer`: the connection ended without an answer, and the store is lost.
 * - `refused-after-loss`: the store did nothing now, but an earlier attempt has no answer.
 */
type StoreReason =
  | 'confirmed'
  | 'store-lost'
  | 'withdrawn'
  | 'store-refused'
  | 'lost-under-way'
  | 'deadline'
  | 'no-answer'
  | 'refused-after-loss';

/** What the service needs to know of the node's view of the work log. */
export interface WorkView {
  readonly table: WorkTable;
  /** When the view was last known to be complete, on the steady clock. */
  readonly completeAsOfMs: number;
  /** Whether the store cannot be read now. */
  readonly isLost: boolean;
  /** Tells when the store can no longer be read. */
  readonly lost$: Observable<void>;
}

/** The job interface: what callers may ask of any node. */
export class JobService {
  readonly #view: WorkView;

  readonly #batcher: AppendBatcher;

  readonly #log: NodeLog;

  /** Stored through this node, and not yet read back. */
  readonly #justAccepted = new Map<string, JobSpec>();

  constructor(view: WorkView, target: KeyedLog, log: NodeLog) {
    this.#view = view;
    this.#batcher = new AppendBatcher(target);
    this.#log = log;
    view.table.changes$.subscribe((change) => {
      if (change.kind === 'accepted') this.#justAccepted.delete(change.id);
    });
  }

  /**
   * Stores a job. Sent again with the same id it stays one job: repeated records of one key are
   * taken once.
   */
  async submit(spec: JobSpec, deadlineMs: number): Promise<SubmitOutcome> {
    const arrivedMs = steadyMs();
    const known = this.#find(spec.id);
    if (known) return this.#repeated(spec, known);
    const write = { key: jobKey(spec.id), value: encodeJob(spec) };
    const { outcome, reason, sends } = await this.#store(write, deadlineMs);
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
   * In how many milliseconds a caller had better come back with a job; undefined where it can be taken
   * now, or stands already.
   */
  refusalMs(spec: JobSpec, queue: QueuePolicy): number | undefined {
    const { leader, leaderSeenMs } = this.#view.table;
    const leaderAgeMs = steadyMs() - leaderSeenMs;
    const isTold = leader?.retryAfterMs !== undefined && leaderAgeMs < MAX_REFUSAL_AGE_MS;
    if (!isTold || this.#find(spec.id)) return undefined;
    const waitMs = retryDelayMs(spec, queue, leader.retryAfterMs);
    if (waitMs === undefined) return undefined;
    this.#log.emit('info', 'submit', {
      job: spec.id,
      queue: spec.queue,
      outcome: 'not-run',
      reason: 'idle-jobs',
      retryAfterMs: Math.round(waitMs),
      leaderAgeMs: Math.round(leaderAgeMs),
      tookMs: 0,
      ...sizeOf(spec),
    });
    return waitMs;
  }

  async cancel(id: string, queue: string, deadlineMs: number): Promise<CancelOutcome> {
    const known = this.#find(id);
    if (known?.queue !== queue) {
      if (known || this.#isFresh()) return 'no-such-job';
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
    return this.#isFresh() ? 'no-such-job' : 'unavailable';
  }

  /** How many jobs of a queue have not begun; undefined where the view is too old to tell. */
  pending(queue: string): number | undefined {
    return this.#isFresh() ? this.#view.table.pending(queue) : undefined;
  }

  #find(id: string): JobSpec | undefined {
    return this.#view.table.jobs.get(id)?.spec ?? this.#justAccepted.get(id);
  }

  /**
   * Without the store nothing can be accepted, and the caller had better try another node now. A
   * record that was sent in vain may still be stored, so its caller could not be told that the job
   * has not run; and until its time limit is over the next ones would wait behind it, though the
   * store is back. Nothing is sent from the first failed read until one succeeds.
   */
  #canStore(): boolean {
    return !this.#view.isLost && this.#isFresh();
  }

  #isFresh(): boolean {
    return steadyMs() - this.#view.completeAsOfMs < MAX_VIEW_AGE_MS;
  }

  #repeated(spec: JobSpec, known: JobSpec): SubmitOutcome {
    const isSame =
      spec.queue === known.queue &&
      spec.payload === known.payload &&
      JSON.stringify(spec.steps) === JSON.stringify(known.steps);
    this.#log.emit('info', 'submit-repeated', { job: spec.id, queue: spec.queue, same: isSame });
    return isSame ? 'accepted' : 'conflict';
  }

  /**
   * Stores one record, again and again until the deadline while no answer comes. `not-run` is
   * only said when every attempt was refused by the store, or none was sent.
   */
  async #store(write: KeyedWrite, deadlineMs: number): Promise<StoreResult> {
    if (!this.#canStore()) return { outcome: 'not-run', reason: 'store-lost', sends: 0 };
    let sends = 0;
    while (steadyMs() < deadlineMs) {
      // Once the store is lost, waiting on would only keep the caller from asking another node.
      const lost = this.#view.lost$.pipe(map(() => 'lost-under-way' as const));
      const late = timer(deadlineMs - steadyMs()).pipe(map(() => 'deadline' as const));
      const append = this.#batcher.append(write);
      const result = await firstValueFrom(race(from(append.result), merge(lost, late)));
      if (typeof result === 'string') {
        // Sent later, into a store that is away, it could be stored though its caller has given up.
        if (!append.withdraw()) return { outcome: 'unknown', reason: result, sends: sends + 1 };
        return { outcome: sends > 0 ? 'unknown' : 'not-run', reason: 'withdrawn', sends };
      }
      sends += 1;
      if (result.outcome === 'appended') return { outcome: 'stored', reason: 'confirmed', sends };
      if (result.outcome === 'refused') {
        if (sends > 1) return { outcome: 'unknown', reason: 'refused-after-loss', sends };
        return { outcome: 'not-run', reason: 'store-refused', sends };
      }
      if (this.#view.isLost) return { outcome: 'unknown', reason: 'no-answer', sends };
      await delay(REPEAT_MS, new AbortController().signal);
    }
    return { outcome: 'unknown', reason: 'deadline', sends };
  }
}

function sizeOf({ steps }: JobSpec): { steps: number; tasks: number } {
  return { steps: steps.length, tasks: steps.reduce((sum, { taskCount }) => sum + taskCount, 0) };
}
