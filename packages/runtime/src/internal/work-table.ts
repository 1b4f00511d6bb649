import { Subject } from 'rxjs';
import type { JobSpec, JobState, PressWeights } from '@redwingcrank/jobs';
import { JobProgress, isFinal } from '@redwingcrank/jobs';
import type { KeyedRecord } from '../keyed-log.js';
import type { LeaderRecord } from './work-records.js';
import { decodeJob, decodeLeader, decodeLearned, parseKey } from './work-records.js';
import { steadyMs } from './delay.js';
import { UNCONFIRMED_MS } from './timing.js';

/** A job as the store has it. */
export interface StoredJob {
  readonly spec: JobSpec;
  state: JobState;
  /** Time of day at which it reached a final state; 0 before that. */
  endedMs: number;
  progress: string | undefined;
  /** The newest record of its progress could not be read: `progress` may be out of date. */
  isUnsure: boolean;
  cancelled: boolean;
}

/** How fast a long gap between the leader's records is forgotten, in milliseconds. */
const GAP_FADE_MS = 5_000;

export type WorkChange =
  | { readonly kind: 'accepted' | 'cancelled' | 'deleted'; readonly id: string }
  | { readonly kind: 'leader'; readonly leader: LeaderRecord };

/**
 * Everything in the work log, as every node holds it: it answers callers from it, and whoever
 * takes over scheduling starts from it. Only stored facts stand here.
 */
export class WorkTable {
  readonly #jobs = new Map<string, StoredJob>();

  /** Records that came before their job: pages of a load are in no particular order. */
  readonly #early = new Map<string, KeyedRecord[]>();

  #leader: LeaderRecord | undefined;

  #leaderSeenMs = -Infinity;

  #formerRenewalsEndMs = -Infinity;

  #leaderGapMs = 0;

  #learned: PressWeights = {};

  readonly changes$ = new Subject<WorkChange>();

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

  /**
   * Until when, on the steady clock, the scheduling nodes before the present one may have renewed
   * leases. Each renews none later than `UNCONFIRMED_MS` after it sent its newest record, and none
   * after it has resigned; that record was read later than it was sent.
   */
  get formerRenewalsEndMs(): number {
    return this.#formerRenewalsEndMs;
  }

  /** How far apart the scheduling node's records were lately, at most, in milliseconds. */
  get leaderGapMs(): number {
    return this.#leaderGapMs;
  }

  /** What scheduling nodes have learned of how images press on each other. */
  get learned(): PressWeights {
    return this.#learned;
  }

  reset(): void {
    this.#jobs.clear();
    this.#early.clear();
  }

  apply(rec: KeyedRecord): void {
    const key = parseKey(rec.key);
    if (!key) return;
    switch (key.kind) {
      case 'leader':
        this.#applyLeader(rec.value);
        break;
      case 'learned':
        if (rec.value !== undefined) this.#learned = decodeLearned(rec.value);
        break;
      case 'job':
        this.#applyJob(key.id, rec);
        break;
      default:
        this.#applyToJob(key.id, key.kind, rec);
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

  #applyLeader(value: string | undefined): void {
    if (value === undefined) return;
    const leader = decodeLeader(value);
    // The silence before a new leader's first record says nothing about the store.
    if (leader.epoch === this.#leader?.epoch) this.#sawLeader();
    else this.#leaderChanged();
    if (this.#leader && leader.epoch < this.#leader.epoch) return;
    this.#leader = leader;
    this.changes$.next({ kind: 'leader', leader });
  }

  #leaderChanged(): void {
    const nowMs = steadyMs();
    const hasResigned = this.#leader?.resigned ?? false;
    // Of leaders before the first one that was read nothing is known, but that they are replaced.
    const seenMs = this.#leader ? this.#leaderSeenMs : nowMs;
    const endMs = seenMs + (hasResigned ? 0 : UNCONFIRMED_MS);
    this.#formerRenewalsEndMs = Math.max(this.#formerRenewalsEndMs, endMs);
    this.#leaderSeenMs = nowMs;
  }

  #sawLeader(): void {
    const nowMs = steadyMs();
    const gapMs = this.#leaderSeenMs > 0 ? nowMs - this.#leaderSeenMs : 0;
    const fading = this.#leaderGapMs * Math.exp(-gapMs / GAP_FADE_MS);
    this.#leaderGapMs = Math.max(fading, gapMs);
    this.#leaderSeenMs = nowMs;
  }

  #applyJob(id: string, { value }: KeyedRecord): void {
    if (value === undefined) {
      if (this.#jobs.delete(id)) this.changes$.next({ kind: 'deleted', id });
      return;
    }
    // A submission that was sent twice is one job: the first stands.
    if (this.#jobs.has(id)) return;
    this.#jobs.set(id, {
      spec: decodeJob(value),
      state: 'queued',
      endedMs: 0,
      progress: undefined,
      isUnsure: false,
      cancelled: false,
    });
    const early = this.#early.get(id) ?? [];
    this.#early.delete(id);
    for (const rec of early) this.apply(rec);
    this.changes$.next({ kind: 'accepted', id });
  }

  #applyToJob(id: string, kind: 'progress' | 'cancel', rec: KeyedRecord): void {
    if (kind === 'progress') this.#sawLeader();
    if (rec.value === undefined) return;
    const job = this.#jobs.get(id);
    if (!job) {
      this.#early.set(id, [...(this.#early.get(id) ?? []), rec]);
      return;
    }
    if (kind === 'cancel') {
      job.cancelled = true;
      this.changes$.next({ kind: 'cancelled', id });
      return;
    }
    const { state, endedMs } = JobProgress.decodeState(rec.value);
    Object.assign(job, { state, endedMs, progress: rec.value });
  }
}

/** The state that a caller is told. */
export function shownState(job: StoredJob): JobState {
  return job.cancelled && !isFinal(job.state) ? 'cancelled' : job.state;
}
