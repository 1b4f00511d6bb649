import { Subject } from 'rxjs';
import type {
  InterferenceWeights,
  JobSpec,
  JobState,
  StoredWaveProgress,
  UnstartedTasks,
} from '@redwingcrank/jobs';
import { JobProgress, isFinal, unstartedTasksOf } from '@redwingcrank/jobs';
import type { KeyedRecord } from '../keyed-log.js';
import type { Decoded, RecordFault } from '../record-fault.js';
import { steadyMs } from './delay.js';
import type { FaultLog } from './fault-log.js';
import { FormerLeases } from './former-leases.js';
import { decodeJob } from './job-record.js';
import { jobBytesOf } from './job-memory.js';
import { decodeUpkeep } from './upkeep-record.js';
import type { LeaderRecord, OfferRecord } from './work-records.js';
import { decodeLeader, decodeLearned, decodeOffer, parseKey, progressKey } from './work-records.js';

/** A job as stored. */
export interface StoredJob {
  readonly spec: JobSpec;
  state: JobState;
  /** Wall-clock time at which it reached a final state; 0 before that. */
  endedMs: number;
  progress: string | undefined;
  /** When its newest progress was read, or the job itself if it has none, on the steady clock. */
  changedMs: number;
  /**
   * Whether its newest progress record could not be read, so that `progress` may be out of date.
   */
  isUnsure: boolean;
  cancelled: boolean;
  /** How many of its tasks the leader has yet to start, as of its newest progress. */
  unstarted: UnstartedTasks;
  /** About how many bytes it takes in the memory of the leader. */
  bytes: number;
}

/** A job with tasks that the leader has yet to start. */
export interface UnstartedJob extends UnstartedTasks {
  readonly queue: string;
}

/** Time constant of the decay of the largest gap between leader records, in milliseconds. */
const GAP_DECAY_MS = 5_000;

export type WorkChange =
  | { readonly kind: 'accepted' | 'cancelled' | 'deleted' | 'unsure'; readonly id: string }
  | { readonly kind: 'leader'; readonly leader: LeaderRecord };

const UNREADABLE: RecordFault = { reason: 'unreadable', field: 'value' };

/**
 * Records of a job that were read before the job: its progress is in another log, and the pages of
 * a load are in no particular order.
 */
interface EarlyRecords {
  progress?: KeyedRecord;
  /** Whether a later progress record could not be read. */
  isUnsure?: boolean;
  cancel?: KeyedRecord;
}

/**
 * The content of the logs of work, held by every node: the node answers callers from it, and a new
 * leader starts from it. It contains only stored facts. A record that cannot be used changes
 * nothing, except that its job may become unsure.
 */
export class WorkTable {
  readonly #jobs = new Map<string, StoredJob>();

  readonly #faults: FaultLog | undefined;

  #jobBytes = 0;

  readonly #early = new Map<string, EarlyRecords>();

  /** Deleted jobs whose progress is not deleted yet. */
  readonly #orphanedProgress = new Set<string>();

  #leader: LeaderRecord | undefined;

  #leaderSeenMs = -Infinity;

  #leaderGapMs = 0;

  #learned: InterferenceWeights = {};

  readonly #upkeep = new Map<number, StoredWaveProgress>();

  readonly changes$ = new Subject<WorkChange>();

  /** Offers of nodes to take over from the leader. */
  readonly offers$ = new Subject<OfferRecord>();

  /**
   * Creates the table of the node with this name; records that cannot be used are reported to
   * `faults`.
   */
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

  /** When a record of the leader was last read, on the steady clock. */
  get leaderSeenMs(): number {
    return this.#leaderSeenMs;
  }

  /** Until when workers may hold leases from earlier leaders. */
  readonly formerLeases: FormerLeases;

  /** The largest recent gap between records of the leader, in milliseconds. */
  get leaderGapMs(): number {
    return this.#leaderGapMs;
  }

  /** What leaders have learned about how images interfere with each other. */
  get learned(): InterferenceWeights {
    return this.#learned;
  }

  /** Which machines were called for maintenance and which are done, by wave. */
  get upkeep(): ReadonlyMap<number, StoredWaveProgress> {
    return this.#upkeep;
  }

  /** Whether progress was read of jobs that were not read yet. */
  get hasEarlyProgress(): boolean {
    return [...this.#early.values()].some(({ progress, isUnsure }) => progress ?? isUnsure);
  }

  /** How many tasks of all jobs the leader has yet to start. */
  get unstartedTasks(): number {
    let count = 0;
    for (const { unstartedTasks } of this.unstarted()) count += unstartedTasks;
    return count;
  }

  /** Yields how many tasks the leader has yet to start, job by job. */
  *unstarted(): Generator<UnstartedJob> {
    for (const { spec, cancelled, unstarted } of this.#jobs.values())
      if (!cancelled && unstarted.unstartedTasks > 0) yield { queue: spec.queue, ...unstarted };
  }

  /** About how many bytes all jobs take in the memory of the leader. */
  get jobBytes(): number {
    return this.#jobBytes;
  }

  /** Deleted jobs whose progress is not deleted yet. */
  get orphanedProgress(): Iterable<string> {
    return this.#orphanedProgress;
  }

  /**
   * Called before the work log is loaded again. Jobs keep their progress, including jobs that are
   * not read yet: without it they would look new until the record of each is read.
   */
  reset(): void {
    this.formerLeases.viewReset();
  }

  /** Called before the callers' log is loaded again. Progress is kept for the jobs to be read. */
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
    this.#jobBytes = 0;
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
      case 'upkeep':
        this.#applyUpkeep(Number(key.id), rec);
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

  /** Returns the number of jobs of a queue of which no task has been started yet. */
  pending(queue: string): number {
    let count = 0;
    for (const job of this.#jobs.values()) {
      if (job.spec.queue === queue && job.state === 'queued' && !job.cancelled) count += 1;
    }
    return count;
  }

  /** Returns the decoded record; undefined for a deletion or a record that cannot be used. */
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
      if (rec.value !== undefined || rec.fault) this.#leaderRecordUnusable();
      return;
    }
    // The silence before the first record of a new leader says nothing about the store.
    if (leader.epoch === this.#leader?.epoch) this.#leaderSeen();
    else this.#leaderSeenMs = steadyMs();
    if (this.#leader && leader.epoch < this.#leader.epoch) return;
    this.formerLeases.recordRead(leader, steadyMs());
    this.#leader = leader;
    this.changes$.next({ kind: 'leader', leader });
  }

  /**
   * Called for a leader record that cannot be used. It may have belonged to a term of which no
   * other record is read, or have listed silent workers. As after loading the log again, only the
   * next record states how long leases may last.
   */
  #leaderRecordUnusable(): void {
    this.formerLeases.heartbeatRead(steadyMs());
    this.formerLeases.viewReset();
  }

  #applyLearned(rec: KeyedRecord): void {
    const learned = this.#decoded(rec, decodeLearned);
    this.#learned = learned ?? this.#learned;
    this.#leaderWrote(rec, learned !== undefined);
  }

  #applyUpkeep(wave: number, rec: KeyedRecord): void {
    const progress = this.#decoded(rec, decodeUpkeep);
    if (progress) this.#upkeep.set(wave, progress);
    else if (rec.value === undefined && !rec.fault) this.#upkeep.delete(wave);
    this.#leaderWrote(rec, progress !== undefined);
  }

  #applyOffer(rec: KeyedRecord): void {
    const offer = this.#decoded(rec, decodeOffer);
    if (offer) this.offers$.next(offer);
  }

  /**
   * Called for records that only the leader writes. Any client may have written a record that
   * cannot be used, so it does not show that the leader is alive; but the leader may have written
   * it too, and have renewed leases since.
   */
  #leaderWrote({ value, fault }: KeyedRecord, isUsable: boolean): void {
    const isDeletion = value === undefined && !fault;
    if (isUsable || isDeletion) this.#leaderSeen();
    else this.formerLeases.heartbeatRead(steadyMs());
  }

  #leaderSeen(): void {
    const nowMs = steadyMs();
    const gapMs = this.#leaderSeenMs > 0 ? nowMs - this.#leaderSeenMs : 0;
    const decayedGapMs = this.#leaderGapMs * Math.exp(-gapMs / GAP_DECAY_MS);
    this.#leaderGapMs = Math.max(decayedGapMs, gapMs);
    this.#leaderSeenMs = nowMs;
    this.formerLeases.heartbeatRead(nowMs);
  }

  #applyJob(id: string, rec: KeyedRecord): void {
    const spec = this.#decoded(rec, (text) => decodeJob(id, text));
    if (!spec) {
      if (rec.value === undefined && !rec.fault) this.#deleteJob(id);
      return;
    }
    // A submission that was sent twice is one job: the first record counts.
    if (this.#jobs.has(id)) return;
    const bytes = jobBytesOf(spec, false);
    this.#jobBytes += bytes;
    this.#jobs.set(id, {
      spec,
      state: 'queued',
      endedMs: 0,
      progress: undefined,
      changedMs: steadyMs(),
      isUnsure: false,
      cancelled: false,
      unstarted: unstartedTasksOf(spec),
      bytes,
    });
    this.#orphanedProgress.delete(id);
    const { progress, isUnsure, cancel } = this.#early.get(id) ?? {};
    this.#early.delete(id);
    if (progress) this.#useProgress(id, this.#jobs.get(id)!, progress);
    if (isUnsure) this.#markUnsure(id, this.#jobs.get(id)!);
    if (cancel) this.#applyCancel(id, cancel);
    this.changes$.next({ kind: 'accepted', id });
  }

  #deleteJob(id: string): void {
    const job = this.#jobs.get(id);
    if (!job) return;
    this.#jobs.delete(id);
    this.#jobBytes -= job.bytes;
    if (job.progress !== undefined || job.isUnsure) this.#orphanedProgress.add(id);
    this.changes$.next({ kind: 'deleted', id });
  }

  #applyProgress(id: string, rec: KeyedRecord): void {
    const job = this.#jobs.get(id);
    if (job) {
      this.#leaderWrote(rec, this.#useProgress(id, job, rec));
      return;
    }
    if (rec.value === undefined && !rec.fault) this.#progressDeleted(id);
    else this.#keepEarly(id, rec, { progress: rec, isUnsure: false });
    this.#leaderWrote(rec, !rec.fault);
  }

  #progressDeleted(id: string): void {
    this.#orphanedProgress.delete(id);
    const { cancel } = this.#early.get(id) ?? {};
    if (cancel) this.#early.set(id, { cancel });
    else this.#early.delete(id);
  }

  /**
   * Applies a progress record and returns whether it could be used; a deletion leaves the job
   * unchanged.
   */
  #useProgress(id: string, job: StoredJob, rec: KeyedRecord): boolean {
    const newest = this.#decoded(rec, (text) => {
      const state = JobProgress.decodeState(job.spec, text);
      if (!state) return { fault: UNREADABLE };
      const { unstartedTasks, readyTasks, ...shown } = state;
      const unstarted = { unstartedTasks, readyTasks };
      return { value: { ...shown, unstarted, progress: text } };
    });
    if (newest) this.#setProgress(id, job, newest);
    else if (rec.value !== undefined || rec.fault) this.#markUnsure(id, job);
    return newest !== undefined;
  }

  #setProgress(id: string, job: StoredJob, newest: Partial<StoredJob>): void {
    const wasUnsure = job.isUnsure;
    Object.assign(job, newest, { isUnsure: false, changedMs: steadyMs() });
    const bytes = jobBytesOf(job.spec, isFinal(job.state));
    this.#jobBytes += bytes - job.bytes;
    Object.assign(job, { bytes });
    // The change is reported like a new job, so that a leader that had to skip the job loads it.
    if (wasUnsure) this.changes$.next({ kind: 'accepted', id });
  }

  /**
   * Marks a job whose newest progress record cannot be used. The record may have bound tasks to
   * workers or ended them. A leader that started from the record before it would start such tasks a
   * second time, so only a node that has the newest progress continues the job.
   */
  #markUnsure(id: string, job: StoredJob): void {
    Object.assign(job, { isUnsure: true });
    this.changes$.next({ kind: 'unsure', id });
  }

  /** Any record of the key cancels the job; its value is not read. */
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

/** Returns the state of a job as shown to callers. */
export function shownState(job: StoredJob): JobState {
  return job.cancelled && !isFinal(job.state) ? 'cancelled' : job.state;
}
