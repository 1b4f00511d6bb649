import type { AttemptOutcome } from '@redwingcrank/protocol';
import type { ControlFold } from '../control-fold.js';

/** Number of a host's latest outcomes that are considered. */
const WINDOW_SIZE = 20;

/** A host is suspect only with at least this many failures that its jobs do not explain. */
const MIN_UNEXPLAINED_FAILURES = 2.5;

/** A host is suspect only if its failure rate is at least this multiple of that of its peers. */
const PEER_FACTOR = 3;

/** A host below this failure rate succeeds more often than not, so it remains useful. */
const MIN_FAILURE_RATE = 0.5;

/** Maximum share of hosts in quarantine: if more are suspect, the hosts are not the cause. */
const MAX_QUARANTINED_SHARE = 0.1;

/** With fewer hosts, there are too few peers for a comparison. */
const MIN_HOSTS = 3;

/** Delay of the first probe: short, for transient faults. It doubles for faults that last. */
const FIRST_PROBE_DELAY_MS = 30_000;

const MAX_PROBE_DELAY_MS = 30 * 60_000;

/** A probe that has run this long without failing has passed. */
const PROBE_PASSES_AFTER_MS = 120_000;

/** An attempt that has run this long on another host shows that its job can run. */
const SURVIVED_MS = 20_000;

/** Number of runs at which an owner's counts are halved, so that old outcomes lose weight. */
const HALVE_COUNTS_AT = 200;

/** Number of tasks whose last ended attempt is remembered, to detect repeated reports. */
const MAX_ENDS = 20_000;

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

/** The end of one attempt, with the facts needed to assess its host. */
export interface AttemptEnd {
  readonly hostId: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly owner: string;
  readonly outcome: AttemptOutcome;
}

/**
 * Quarantines hosts whose workers fail most attempts. Hosts are compared with their peers: a
 * failure counts against a host only as far as the same job fails less often elsewhere. Without
 * this comparison, a job that fails everywhere would put one healthy host after another in
 * quarantine.
 */
export class HostHealth {
  readonly #windows = new Map<string, Outcome[]>();

  readonly #owners = new Map<string, Counts>();

  readonly #quarantines = new Map<string, Quarantine>();

  /** The last attempt whose end was counted, by task id. */
  readonly #lastEnds = new Map<string, number>();

  /** When each attempt was first seen running, for jobs with failures, by task id and attempt. */
  #runningSince = new Map<string, number>();

  /** The hosts on which attempts have run for `SURVIVED_MS`, for each job with failures. */
  readonly #survivors = new Map<string, string[]>();

  /** The hosts in quarantine, which get only probes. */
  get quarantined(): ReadonlyMap<string, { readonly probeAtMs: number }> {
    return this.#quarantines;
  }

  /** Counts the end of an attempt. Reports may be repeated, but each end counts once. */
  observe(end: AttemptEnd, nowMs: number): void {
    if (end.outcome !== 'completed' && end.outcome !== 'failed') return;
    if ((this.#lastEnds.get(end.taskId) ?? 0) >= end.attempt) return;
    this.#rememberEnd(end);
    const failed = end.outcome === 'failed';
    this.#completeProbe(end, failed, nowMs);
    const window = this.#windows.get(end.hostId) ?? [];
    this.#windows.set(end.hostId, [...window.slice(1 - WINDOW_SIZE), { owner: end.owner, failed }]);
    const counts = this.#owners.get(end.owner) ?? { runs: 0, failures: 0 };
    counts.runs += 1;
    counts.failures += failed ? 1 : 0;
    this.#owners.set(end.owner, counts);
    if (counts.runs >= HALVE_COUNTS_AT) halve(counts);
  }

  /** Quarantines suspect hosts and releases those whose probe has run long enough. */
  review(fold: ControlFold, nowMs: number): void {
    for (const [hostId, { probe }] of [...this.#quarantines]) {
      const task = probe && fold.tasks.get(probe.taskId);
      const runs = task?.hostId === hostId && task.attempt === probe?.attempt;
      if (!fold.hosts.has(hostId)) this.#quarantines.delete(hostId);
      else if (probe && !runs) this.#discardProbe(hostId);
      else if (probe && nowMs - probe.sinceMs >= PROBE_PASSES_AFTER_MS) this.#release(hostId);
    }
    this.#updateSurvivors(fold, nowMs);
    const limit =
      fold.hosts.size < MIN_HOSTS ? 0 : Math.max(1, fold.hosts.size * MAX_QUARANTINED_SHARE);
    for (const hostId of this.#windows.keys()) {
      if (!fold.hosts.has(hostId)) this.#windows.delete(hostId);
      else if (this.#quarantines.size + 1 > limit) return;
      else if (!this.#quarantines.has(hostId) && this.#isSuspect(hostId)) {
        this.#quarantines.set(hostId, {
          probeAtMs: nowMs + FIRST_PROBE_DELAY_MS,
          delayMs: FIRST_PROBE_DELAY_MS,
        });
      }
    }
  }

  /** Returns whether a probe is due: a single task that shows whether a quarantined host works. */
  isProbeDue(hostId: string, nowMs: number): boolean {
    const quarantine = this.#quarantines.get(hostId);
    return quarantine !== undefined && !quarantine.probe && nowMs >= quarantine.probeAtMs;
  }

  /** Records that an attempt is the probe of its host. */
  startProbe(hostId: string, taskId: string, attempt: number, nowMs: number): void {
    const quarantine = this.#quarantines.get(hostId);
    if (!quarantine) return;
    const probe = { taskId, attempt, sinceMs: nowMs };
    this.#quarantines.set(hostId, { ...quarantine, probe });
  }

  /**
   * Updates the hosts on which attempts survive. Long jobs complete late; until then, only attempts
   * that still run elsewhere distinguish a faulty worker from a faulty job. Only jobs with a
   * failure in some window are examined.
   */
  #updateSurvivors(fold: ControlFold, nowMs: number): void {
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

  #rememberEnd({ taskId, attempt }: AttemptEnd): void {
    this.#lastEnds.delete(taskId);
    this.#lastEnds.set(taskId, attempt);
    const [oldest] = this.#lastEnds.keys();
    if (this.#lastEnds.size > MAX_ENDS && oldest !== undefined) this.#lastEnds.delete(oldest);
  }

  #completeProbe({ hostId, taskId }: AttemptEnd, failed: boolean, nowMs: number): void {
    const quarantine = this.#quarantines.get(hostId);
    if (quarantine?.probe?.taskId !== taskId) return;
    if (!failed) {
      this.#release(hostId);
      return;
    }
    const delayMs = Math.min(MAX_PROBE_DELAY_MS, quarantine.delayMs * 2);
    this.#quarantines.set(hostId, { probeAtMs: nowMs + delayMs, delayMs });
  }

  /** Discards a probe that was never bound or ended without a result; another one is then due. */
  #discardProbe(hostId: string): void {
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
    return this.#unexplainedFailures(hostId, window) >= MIN_UNEXPLAINED_FAILURES;
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

  /** Sums the failures that jobs do not explain; a job without success elsewhere adds at most 1. */
  #unexplainedFailures(hostId: string, window: readonly Outcome[]): number {
    let total = 0;
    for (const owner of new Set(window.map((outcome) => outcome.owner))) {
      const outcomesHere = window.filter((outcome) => outcome.owner === owner);
      const failedHere = outcomesHere.filter((outcome) => outcome.failed).length;
      const counts = this.#owners.get(owner) ?? { runs: 0, failures: 0 };
      const survivedElsewhere =
        this.#survivors.get(owner)?.filter((host) => host !== hostId).length ?? 0;
      const runs = Math.max(0, counts.runs - outcomesHere.length) + survivedElsewhere;
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
