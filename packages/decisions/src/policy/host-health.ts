import type { AttemptOutcome } from '@redwingcrank/protocol';
import type { ControlFold } from '../control-fold.js';

/** So many of a host's latest outcomes count. */
const WINDOW = 20;

/** So many failures must be left that the jobs themselves do not explain. */
const UNEXPLAINED = 2.5;

/** A host is suspect only when it fails this many times as often as its peers. */
const PEER_FACTOR = 3;

/** A host that succeeds more often than not is still of use. */
const MIN_FAILURE_RATE = 0.5;

/** No more than this part of the hosts is quarantined: beyond it the cause is not the host. */
const MAX_PART = 0.1;

/** With fewer hosts there are no peers to compare with. */
const MIN_HOSTS = 3;

/** Probes start soon, for a fault that passes, and grow rarer, for one that stays. */
const FIRST_PROBE_MS = 30_000;

const LAST_PROBE_MS = 30 * 60_000;

/** A probe that has run for so long without failing has passed. */
const PROBE_PASSED_MS = 120_000;

/** An attempt that has run for so long elsewhere shows that its job does not fail by itself. */
const SURVIVED_MS = 20_000;

/** The counts of an owner are halved at this size, so that old outcomes fade. */
const FADE_AT = 200;

/** Ends of so many tasks are remembered for finding repeated reports. */
const MAX_COUNTED = 20_000;

interface Outcome {
  readonly owner: string;
  readonly failed: boolean;
}

interface Counts {
  runs: number;
  failures: number;
}

interface Quarantine {
  readonly probeAtMs: number;
  readonly delayMs: number;
  readonly probe?: { readonly taskId: string; readonly attempt: number; readonly sinceMs: number };
}

/** The end of one attempt, as far as it says something about its host. */
export interface AttemptEnd {
  readonly hostId: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly owner: string;
  readonly outcome: AttemptOutcome;
}

/**
 * Finds workers that fail what they start, by comparing them with their peers: a failure counts
 * against a host only as far as the same job does better elsewhere. Without that a job that fails
 * everywhere would close one good host after the other.
 */
export class HostHealth {
  readonly #windows = new Map<string, Outcome[]>();

  readonly #owners = new Map<string, Counts>();

  readonly #quarantines = new Map<string, Quarantine>();

  readonly #counted = new Map<string, number>();

  /** Since when each attempt is known to run, for the jobs that failed somewhere. */
  #runningSince = new Map<string, number>();

  /** For the jobs that failed somewhere: the hosts on which attempts of theirs survived. */
  readonly #survivors = new Map<string, string[]>();

  /** The hosts that get no ordinary work. */
  get quarantined(): ReadonlyMap<string, { readonly probeAtMs: number }> {
    return this.#quarantines;
  }

  /** Takes note of an end; reports repeat themselves, and each end counts once. */
  observe(end: AttemptEnd, nowMs: number): void {
    if (end.outcome !== 'completed' && end.outcome !== 'failed') return;
    if ((this.#counted.get(end.taskId) ?? 0) >= end.attempt) return;
    this.#remember(end);
    const failed = end.outcome === 'failed';
    this.#settleProbe(end, failed, nowMs);
    const window = this.#windows.get(end.hostId) ?? [];
    this.#windows.set(end.hostId, [...window.slice(1 - WINDOW), { owner: end.owner, failed }]);
    const counts = this.#owners.get(end.owner) ?? { runs: 0, failures: 0 };
    counts.runs += 1;
    counts.failures += failed ? 1 : 0;
    this.#owners.set(end.owner, counts);
    if (counts.runs >= FADE_AT) halve(counts);
  }

  /** Quarantines hosts that are suspect now, and releases those whose probe has run long. */
  review(fold: ControlFold, nowMs: number): void {
    for (const [hostId, { probe }] of [...this.#quarantines]) {
      const task = probe && fold.tasks.get(probe.taskId);
      const runs = task?.hostId === hostId && task.attempt === probe?.attempt;
      if (!fold.hosts.has(hostId)) this.#quarantines.delete(hostId);
      else if (probe && !runs) this.#putBack(hostId);
      else if (probe && nowMs - probe.sinceMs >= PROBE_PASSED_MS) this.#release(hostId);
    }
    this.#watchSurvivors(fold, nowMs);
    const limit = fold.hosts.size < MIN_HOSTS ? 0 : Math.max(1, fold.hosts.size * MAX_PART);
    for (const hostId of this.#windows.keys()) {
      if (!fold.hosts.has(hostId)) this.#windows.delete(hostId);
      else if (this.#quarantines.size + 1 > limit) return;
      else if (!this.#quarantines.has(hostId) && this.#isSuspect(hostId)) {
        this.#quarantines.set(hostId, {
          probeAtMs: nowMs + FIRST_PROBE_MS,
          delayMs: FIRST_PROBE_MS,
        });
      }
    }
  }

  /** Whether a quarantined host is owed a single task that shows whether it works again. */
  isProbeDue(hostId: string, nowMs: number): boolean {
    const quarantine = this.#quarantines.get(hostId);
    return quarantine !== undefined && !quarantine.probe && nowMs >= quarantine.probeAtMs;
  }

  /** Takes note that this attempt is the probe of its host. */
  startProbe(hostId: string, taskId: string, attempt: number, nowMs: number): void {
    const quarantine = this.#quarantines.get(hostId);
    if (!quarantine) return;
    const probe = { taskId, attempt, sinceMs: nowMs };
    this.#quarantines.set(hostId, { ...quarantine, probe });
  }

  /**
   * Long jobs complete late, and until then nothing but what still runs tells a bad worker from a
   * bad job. Only jobs with a failure in some window are looked at.
   */
  #watchSurvivors(fold: ControlFold, nowMs: number): void {
    const since = new Map<string, number>();
    this.#survivors.clear();
    for (const owner of this.#failedOwners()) {
      const hosts: string[] = [];
      for (const taskId of fold.index.of('job', owner)?.live ?? []) {
        const task = fold.tasks.get(taskId);
        if (task?.state === 'running') {
          const key = `${taskId}#${task.attempt}`;
          const start = this.#runningSince.get(key) ?? nowMs;
          since.set(key, start);
          if (nowMs - start >= SURVIVED_MS) hosts.push(task.hostId);
        }
      }
      this.#survivors.set(owner, hosts);
    }
    this.#runningSince = since;
  }

  #failedOwners(): Set<string> {
    const owners = new Set<string>();
    for (const window of this.#windows.values()) {
      for (const { owner, failed } of window) if (failed) owners.add(owner);
    }
    return owners;
  }

  #remember({ taskId, attempt }: AttemptEnd): void {
    this.#counted.delete(taskId);
    this.#counted.set(taskId, attempt);
    const [oldest] = this.#counted.keys();
    if (this.#counted.size > MAX_COUNTED && oldest !== undefined) this.#counted.delete(oldest);
  }

  #settleProbe({ hostId, taskId }: AttemptEnd, failed: boolean, nowMs: number): void {
    const quarantine = this.#quarantines.get(hostId);
    if (quarantine?.probe?.taskId !== taskId) return;
    if (!failed) {
      this.#release(hostId);
      return;
    }
    const delayMs = Math.min(LAST_PROBE_MS, quarantine.delayMs * 2);
    this.#quarantines.set(hostId, { probeAtMs: nowMs + delayMs, delayMs });
  }

  /** The probe was never bound or is gone without a verdict: another one is due. */
  #putBack(hostId: string): void {
    const quarantine = this.#quarantines.get(hostId);
    if (!quarantine) return;
    const { probe: _probe, ...rest } = quarantine;
    this.#quarantines.set(hostId, rest);
  }

  #release(hostId: string): void {
    this.#quarantines.delete(hostId);
    this.#windows.delete(hostId);
  }

  #isSuspect(hostId: string): boolean {
    const window = this.#windows.get(hostId) ?? [];
    const failures = window.filter((outcome) => outcome.failed).length;
    const rate = failures / window.length;
    if (rate < MIN_FAILURE_RATE || rate < PEER_FACTOR * this.#peerRate(hostId)) return false;
    return this.#unexplained(hostId, window) >= UNEXPLAINED;
  }

  #peerRate(hostId: string): number {
    let runs = 0;
    let failures = 0;
    for (const [peer, window] of this.#windows) {
      if (peer !== hostId && !this.#quarantines.has(peer)) {
        runs += window.length;
        failures += window.filter((outcome) => outcome.failed).length;
      }
    }
    return runs === 0 ? 0 : failures / runs;
  }

  /** A job that never succeeded elsewhere can account for one failure at most. */
  #unexplained(hostId: string, window: readonly Outcome[]): number {
    let total = 0;
    for (const owner of new Set(window.map((outcome) => outcome.owner))) {
      const here = window.filter((outcome) => outcome.owner === owner);
      const failedHere = here.filter((outcome) => outcome.failed).length;
      const counts = this.#owners.get(owner) ?? { runs: 0, failures: 0 };
      const survived = this.#survivors.get(owner)?.filter((host) => host !== hostId).length ?? 0;
      const runs = Math.max(0, counts.runs - here.length) + survived;
      const failures = Math.min(runs, Math.max(0, counts.failures - failedHere));
      const unexplained = failedHere * (1 - failures / Math.max(1, runs));
      total += runs > failures ? unexplained : Math.min(1, unexplained);
    }
    return total;
  }
}

function halve(counts: Counts): void {
  Object.assign(counts, { runs: counts.runs / 2, failures: counts.failures / 2 });
}
