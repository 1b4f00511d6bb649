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
 * The outcome of a submission, as reported to the caller.
 *
 * - `accepted`: the job is stored.
 * - `not-run`: nothing was stored, and nothing will be.
 * - `conflict`: the id already belongs to another job.
 * - `unknown`: the job may have been stored; it may be submitted again with the same id.
 */
export type SubmitOutcome = 'accepted' | 'not-run' | 'conflict' | 'unknown';

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

/** The node's view of the logs of work, as the service uses it. */
export interface WorkView {
  readonly table: WorkTable;
  /** When the view was last known to be complete, on the steady clock. */
  readonly completeAsOfMs: number;
  /** Whether the store cannot be read now. */
  readonly isLost: boolean;
  /** Emits when the store can no longer be read. */
  readonly lost$: Observable<void>;
}

/** Submits, cancels and shows jobs; every node offers this service to its callers. */
export class JobService {
  readonly #view: WorkView;

  readonly #batcher: AppendBatcher;

  readonly #log: NodeLog;

  /** Jobs that were stored through this node and not yet read back. */
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
   * Stores a job. A job that is submitted again with the same id remains one job: of repeated
   * records of one key only the first counts.
   */
  async submit(spec: JobSpec, deadlineMs: number): Promise<SubmitOutcome> {
    const arrivedMs = steadyMs();
    const known = this.#find(spec.id);
    if (known) return this.#repeatedOutcome(spec, known);
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
   * Returns in how many milliseconds a caller should retry a job; undefined if the job can be
   * accepted now or is stored already.
   */
  retryDelayMs(spec: JobSpec, queue: QueuePolicy): number | undefined {
    const { leader, leaderSeenMs } = this.#view.table;
    const leaderAgeMs = steadyMs() - leaderSeenMs;
    const hasRefusals = leader?.retryAfterMs !== undefined && leaderAgeMs < MAX_REFUSAL_AGE_MS;
    if (!hasRefusals || this.#find(spec.id)) return undefined;
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
   * Stores one record, with retries until the deadline while there is no answer. Returns `not-run`
   * only if the store refused every attempt or none was sent.
   */
  async #store(write: KeyedWrite, deadlineMs: number): Promise<StoreResult> {
    if (!this.#canStore()) return { outcome: 'not-run', reason: 'store-lost', sends: 0 };
    let sends = 0;
    while (steadyMs() < deadlineMs) {
      // Once the store is lost, a longer wait would only keep the caller from trying another node.
      const lost = this.#view.lost$.pipe(map(() => 'lost-under-way' as const));
      const late = timer(deadlineMs - steadyMs()).pipe(map(() => 'deadline' as const));
      const append = this.#batcher.append(write);
      const result = await firstValueFrom(race(from(append.result), merge(lost, late)));
      if (typeof result === 'string') {
        // A record that is sent later, after an outage, could be stored although its caller has
        // given up.
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
      await delay(RETRY_PAUSE_MS, new AbortController().signal);
    }
    return { outcome: 'unknown', reason: 'deadline', sends };
  }
}

function sizeOf({ steps }: JobSpec): { steps: number; tasks: number } {
  return { steps: steps.length, tasks: steps.reduce((sum, { taskCount }) => sum + taskCount, 0) };
}
