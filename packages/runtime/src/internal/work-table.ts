import { Subject } from 'rxjs';
import type { JobSpec, JobState, InterferenceWeights } from '@redwingcrank/jobs';
import { JobProgress, isFinal } from '@redwingcrank/jobs';
import type { KeyedRecord } from '../keyed-log.js';
import type { Decoded, RecordFault } from '../record-fault.js';
import { steadyMs } from './delay.js';
import type { FaultLog } from './fault-log.js';
import { FormerLeases } from './former-leases.js';
import { decodeJob } from './job-record.js';
import type { LeaderRecord, OfferRecord } from './work-records.js';
import { decodeLeader, decodeLearned, decodeOffer, parseKey, progressKey } from './work-records.js';

/** A job as the store has it. */
export interface StoredJob {
  readonly spec: JobSpec;
  state: JobState;
  /** Time of day at which it reached a final state; 0 before that. */
  endedMs: number;
  progress: string | undefined;
  /** When its newest progress was read, or the job itself before that, on the steady clock. */
  changedMs: number;
  /** The newest record of its progress could not be read: `progress` may be out of date. */
  isUnsure: boolean;
  cancelled: boolean;
}

/** How fast a long gap between the leader's records is forgotten, in milliseconds. */
const GAP_FADE_MS = 5_000;

export type WorkChange =
  | { readonly kind: 'accepted' | 'cancelled' | 'deleted' | 'unsure'; readonly id: string }
  | { readonly kind: 'leader'; readonly leader: LeaderRecord };

const UNFIT: RecordFault = { reason: 'unreadable', field: 'value' };

/**
 * Records of a job that came before it: its progress is read from another log, and pages of a load
 * are in no particular order.
 */
interface EarlyRecords {
  progress?: KeyedRecord;
  /** A record after it could not be read. */
  isUnsure?: boolean;
  cancel?: KeyedRecord;
}

/**
 * Everything in the logs of work, as every node holds it: it answers callers from it, and whoever
 * takes over scheduling starts from it. Only stored facts stand here. A record that cannot
 * be used changes nothing, but that a job may become unsure by it.
 */
export class WorkTable {
  readonly #jobs = new Map<string, StoredJob>();

  readonly #faults: FaultLog | undefined;

  readonly #early = new Map<string, EarlyRecords>();

  /** Jobs that are deleted, and their progress is not. */
  readonly #outlived = new Set<string>();

  #leader: LeaderRecord | undefined;

  #leaderSeenMs = -Infinity;

  #leaderGapMs = 0;

  #learned: InterferenceWeights = {};

  readonly changes$ = new Subject<WorkChange>();

  /** Offers of nodes to take the leader's role. */
  readonly offers$ = new Subject<OfferRecord>();

  /** The table of the node of this name; what it cannot use it tells the log of faults. */
  constructor(node: string, faults?: FaultLog) {
    this.formerLeases = new FormerLeases(node, steadyMs());
    this.#faults = faults;
  }

  get jobs(): ReadonlyMap<string, StoredJob> {
    return this.#jobs;
  }

  get leader(): LeaderRecord | undefined {
    return this.#leader;
  }

  /** When a record of the scheduling node was last read, on the steady clock. */
  get leaderSeenMs(): number {
    return this.#leaderSeenMs;
  }

  /** Until when workers may hold leases that earlier scheduling nodes have given. */
  readonly formerLeases: FormerLeases;

  /** How far apart the scheduling node's records were lately, at most, in milliseconds. */
  get leaderGapMs(): number {
    return this.#leaderGapMs;
  }

  /** What scheduling nodes have learned of how images disturb each other. */
  get learned(): InterferenceWeights {
    return this.#learned;
  }

  /** Whether progress was read of jobs that were not. */
  get hasEarlyProgress(): boolean {
    return [...this.#early.values()].some(({ progress, isUnsure }) => progress ?? isUnsure);
  }

  /** Jobs that are deleted, and their progress is not. */
  get orphanedProgress(): Iterable<string> {
    return this.#outlived;
  }

  /**
   * What scheduling nodes wrote is told anew. Jobs keep the progress that they have, also those that
   * are not read yet: without it they would seem to be new until the record of each is read.
   */
  reset(): void {
    this.formerLeases.viewReset();
  }

  /** What callers asked for is told anew; progress is not, and waits for its jobs. */
  resetJobs(): void {
    for (const [id, { cancel: _cancel, ...early }] of this.#early) {
      if (early.progress) this.#early.set(id, early);
      else this.#early.delete(id);
    }
    for (const [id, { progress, isUnsure }] of this.#jobs) {
      if (progress === undefined && !isUnsure) continue;
      const rec = progress === undefined ? undefined : { key: progressKey(id), value: progress };
      this.#early.set(id, { ...(rec && { progress: rec }), isUnsure });
    }
    this.#jobs.clear();
  }

  apply(rec: KeyedRecord): void {
    const key = parseKey(rec.key);
    if (!key) {
      if (rec.fault) this.#faults?.unusable('work', rec.key, rec.fault);
      return;
    }
    switch (key.kind) {
      case 'leader':
        this.#applyLeader(rec);
        break;
      case 'learned':
        this.#applyLearned(rec);
        break;
      case 'offer':
        this.#applyOffer(rec);
        break;
      case 'job':
        this.#applyJob(key.id, rec);
        break;
      case 'progress':
        this.#applyProgress(key.id, rec);
        break;
      default:
        this.#applyCancel(key.id, rec);
    }
  }

  /** Jobs of a queue of which no task has been started yet. */
  pending(queue: string): number {
    let count = 0;
    for (const job of this.#jobs.values()) {
      if (job.spec.queue === queue && job.state === 'queued' && !job.cancelled) count += 1;
    }
    return count;
  }

  /** What the record says; undefined where it says nothing, or nothing that can be used. */
  #decoded<T>(rec: KeyedRecord, decode: (text: string) => Decoded<T>): T | undefined {
    const { key, value, fault } = rec;
    if (value === undefined && !fault) {
      this.#faults?.forget('work', key);
      return undefined;
    }
    const decoded = fault ? { fault } : decode(value ?? '');
    if ('fault' in decoded) {
      this.#faults?.unusable('work', key, decoded.fault);
      return undefined;
    }
    this.#faults?.usable('work', key);
    return decoded.value;
  }

  #applyLeader(rec: KeyedRecord): void {
    const leader = this.#decoded(rec, decodeLeader);
    if (!leader) {
      if (rec.value !== undefined || rec.fault) this.#missedLeader();
      return;
    }
    // The silence before a new leader's first record says nothing about the store.
    if (leader.epoch === this.#leader?.epoch) this.#sawLeader();
    else this.#leaderSeenMs = steadyMs();
    if (this.#leader && leader.epoch < this.#leader.epoch) return;
    this.formerLeases.recordRead(leader, steadyMs());
    this.#leader = leader;
    this.changes$.next({ kind: 'leader', leader });
  }

  /**
   * The record may have been of a term that is now never read, or have named workers: as if the log
   * had been read anew, only the next record tells how long leases may last.
   */
  #missedLeader(): void {
    this.formerLeases.heartbeatRead(steadyMs());
    this.formerLeases.viewReset();
  }

  #applyLearned(rec: KeyedRecord): void {
    const learned = this.#decoded(rec, decodeLearned);
    this.#learned = learned ?? this.#learned;
    this.#wordOf(rec, learned !== undefined);
  }

  #applyOffer(rec: KeyedRecord): void {
    const offer = this.#decoded(rec, decodeOffer);
    if (offer) this.offers$.next(offer);
  }

  /**
   * Of what only the scheduling node writes. A record that cannot be used may be anybody's, and is no
   * sign that the node lives; it may be the node's too, and leases have been renewed since.
   */
  #wordOf({ value, fault }: KeyedRecord, isUsable: boolean): void {
    const isDeletion = value === undefined && !fault;
    if (isUsable || isDeletion) this.#sawLeader();
    else this.formerLeases.heartbeatRead(steadyMs());
  }

  #sawLeader(): void {
    const nowMs = steadyMs();
    const gapMs = this.#leaderSeenMs > 0 ? nowMs - this.#leaderSeenMs : 0;
    const fading = this.#leaderGapMs * Math.exp(-gapMs / GAP_FADE_MS);
    this.#leaderGapMs = Math.max(fading, gapMs);
    this.#leaderSeenMs = nowMs;
    this.formerLeases.heartbeatRead(nowMs);
  }

  #applyJob(id: string, rec: KeyedRecord): void {
    const spec = this.#decoded(rec, (text) => decodeJob(id, text));
    if (!spec) {
      if (rec.value === undefined && !rec.fault) this.#deleteJob(id);
      return;
    }
    // A submission that was sent twice is one job: the first stands.
    if (this.#jobs.has(id)) return;
    this.#jobs.set(id, {
      spec,
      state: 'queued',
      endedMs: 0,
      progress: undefined,
      changedMs: steadyMs(),
      isUnsure: false,
      cancelled: false,
    });
    this.#outlived.delete(id);
    const { progress, isUnsure, cancel } = this.#early.get(id) ?? {};
    this.#early.delete(id);
    if (progress) this.#useProgress(id, this.#jobs.get(id)!, progress);
    if (isUnsure) this.#becomesUnsure(id, this.#jobs.get(id)!);
    if (cancel) this.#applyCancel(id, cancel);
    this.changes$.next({ kind: 'accepted', id });
  }

  #deleteJob(id: string): void {
    const job = this.#jobs.get(id);
    if (!job) return;
    this.#jobs.delete(id);
    if (job.progress !== undefined || job.isUnsure) this.#outlived.add(id);
    this.changes$.next({ kind: 'deleted', id });
  }

  #applyProgress(id: string, rec: KeyedRecord): void {
    const job = this.#jobs.get(id);
    if (job) {
      this.#wordOf(rec, this.#useProgress(id, job, rec));
      return;
    }
    if (rec.value === undefined && !rec.fault) this.#progressDeleted(id);
    else this.#keepEarly(id, rec, { progress: rec, isUnsure: false });
    this.#wordOf(rec, !rec.fault);
  }

  #progressDeleted(id: string): void {
    this.#outlived.delete(id);
    const { cancel } = this.#early.get(id) ?? {};
    if (cancel) this.#early.set(id, { cancel });
    else this.#early.delete(id);
  }

  /** Whether the record could be used; a deletion leaves the job as it is. */
  #useProgress(id: string, job: StoredJob, rec: KeyedRecord): boolean {
    const newest = this.#decoded(rec, (text) => {
      const state = JobProgress.decodeState(job.spec, text);
      return state ? { value: { ...state, progress: text } } : { fault: UNFIT };
    });
    if (newest) this.#progressed(id, job, newest);
    else if (rec.value !== undefined || rec.fault) this.#becomesUnsure(id, job);
    return newest !== undefined;
  }

  #progressed(id: string, job: StoredJob, newest: Partial<StoredJob>): void {
    const wasUnsure = job.isUnsure;
    Object.assign(job, newest, { isUnsure: false, changedMs: steadyMs() });
    // As if it were new: a scheduling node that had to leave it alone takes it on.
    if (wasUnsure) this.changes$.next({ kind: 'accepted', id });
  }

  /**
   * The record may have bound tasks to workers, or ended them. Starting from the one before it would
   * start such tasks a second time, so only the node that has the newest progress goes on with it.
   */
  #becomesUnsure(id: string, job: StoredJob): void {
    Object.assign(job, { isUnsure: true });
    this.changes$.next({ kind: 'unsure', id });
  }

  /** That there is a record says it all: what it holds is not looked at. */
  #applyCancel(id: string, rec: KeyedRecord): void {
    if (rec.value === undefined && !rec.fault) return;
    const job = this.#jobs.get(id);
    if (!job) {
      this.#keepEarly(id, rec, { cancel: rec });
      return;
    }
    job.cancelled = true;
    this.changes$.next({ kind: 'cancelled', id });
  }

  #keepEarly(id: string, { value, fault }: KeyedRecord, early: EarlyRecords): void {
    if (value === undefined && !fault) return;
    this.#early.set(id, { ...this.#early.get(id), ...early });
  }
}

/** The state that a caller is told. */
export function shownState(job: StoredJob): JobState {
  return job.cancelled && !isFinal(job.state) ? 'cancelled' : job.state;
}
