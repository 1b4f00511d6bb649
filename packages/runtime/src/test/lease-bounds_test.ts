import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { WorkerState } from '@redwingcrank/jobs';
import { FormerLeases } from '../internal/former-leases.js';
import type { SilentWorkers } from '../internal/silent-workers.js';
import { SilenceDetector } from '../internal/silent-workers.js';
import { TermLeases } from '../internal/term-leases.js';
import {
  CLAIM_LEASE_MS,
  CLOCK_DRIFT_FACTOR,
  CONFIRMED_LEASE_MS,
  LEASE_MS,
} from '../internal/timing.js';
import { withClockDrift } from '../internal/timing.js';
import type { LeaderRecord } from '../internal/work-records.js';
import { leaderRecord } from './leader-record.js';

const WORKERS = ['w1', 'w2', 'w3'];

/** A worker: the highest token it has seen, and when its lease ends on its slow clock. */
interface Worker {
  token: number;
  leaseEndMs: number;
}

/** A time until which any node may renew the lease of a worker under the token of a leader. */
interface Grant {
  readonly id: string;
  readonly token: number;
  /** The end of the grant on the worker's slow clock, in true time. */
  readonly endMs: number;
}

/** One term of a leader, with the knowledge that a real leader has of the workers. */
class Term {
  readonly leases: TermLeases;

  readonly former: FormerLeases;

  readonly epoch: number;

  /** Whether the leader lets other nodes renew leases. */
  readonly hasDelegates: boolean;

  /** By worker: when this leader takes all leases there to have expired, its own and earlier ones. */
  readonly endsMs = new Map<string, number>();

  /** Workers that have answered this leader. */
  readonly reached = new Set<string>();

  /** When workers last answered this leader, by worker. */
  readonly answeredMs = new Map<string, number>();

  /** Workers that do not answer this leader at present. */
  readonly silent = new Set<string>(WORKERS);

  readonly detector: SilenceDetector;

  /** Whether the detector tells which workers are listed as silent; otherwise any of them may be. */
  readonly usesDetector: boolean;

  isOver = false;

  /** The append that has not been answered yet. */
  pending: { rec: LeaderRecord | undefined; sentMs: number } | undefined;

  confirmedMs: number;

  constructor(claim: LeaderRecord, sentMs: number, former: FormerLeases, usesDetector: boolean) {
    this.usesDetector = usesDetector;
    this.detector = new SilenceDetector(former.namedEndMs);
    this.epoch = claim.epoch;
    this.hasDelegates = claim.delegates ?? false;
    this.former = former;
    this.confirmedMs = sentMs;
    const writer = { confirmedMs: sentMs };
    Object.defineProperty(writer, 'confirmedMs', { get: () => this.confirmedMs });
    this.leases = new TermLeases(claim, writer, former);
    for (const id of WORKERS) {
      this.endsMs.set(id, former.namedEndMs.get(id) ?? former.generalEndMs);
    }
  }

  *silentWorkers(): Generator<{ entry: { id: string }; leaseEndMs: number }> {
    for (const id of this.silent) yield { entry: { id }, leaseEndMs: this.endsMs.get(id)! };
  }

  /** Returns the workers to be listed as silent; some are left out where `omitsSome` is set. */
  listed(isFullyLoaded: boolean, omitsSome: boolean, nowMs: number): SilentWorkers {
    if (this.usesDetector) return this.#detected(isFullyLoaded, nowMs);
    const silent = [...this.silentWorkers()];
    return { silent: omitsSome ? silent.slice(1) : silent, isComplete: isFullyLoaded };
  }

  #detected(isFullyLoaded: boolean, nowMs: number): SilentWorkers {
    const workers = new Map<string, WorkerState>();
    const links = new Map<string, { isLost: boolean; isOverdue: () => boolean }>();
    for (const id of WORKERS) {
      const isSilent = this.silent.has(id);
      const worker = {
        ...{ entry: { id }, runs: { size: 1 }, leaseEndMs: this.endsMs.get(id)! },
        ...{ fenced: this.reached.has(id), answeredMs: this.answeredMs.get(id) ?? -Infinity },
      };
      workers.set(id, worker as unknown as WorkerState);
      links.set(id, { isLost: isSilent, isOverdue: () => isSilent });
    }
    return this.detector.find({ workers, links, isListLoaded: true, isFullyLoaded }, nowMs);
  }
}

/** The leader reads its own record before the answer; its next append may follow at once. */
function readBack(term: Term, continues: boolean): void {
  if (!term.pending?.rec) return;
  const { rec, sentMs } = term.pending;
  Object.assign(term, { confirmedMs: Math.max(term.confirmedMs, sentMs) });
  term.leases.recordStored();
  if (continues) Object.assign(term, { pending: undefined, isOver: rec.resigned });
}

/** A store, workers, and successive leaders, which may not know yet that they are replaced. */
class Simulation {
  #nowMs = 10_000;

  readonly #workers = new Map<string, Worker>(
    WORKERS.map((id) => [id, { token: 0, leaseEndMs: 0 }]),
  );

  readonly #terms: Term[] = [];

  readonly #grants: Grant[] = [];

  /** Everything stored: leader records, and `undefined` for any other record of a leader. */
  readonly #log: (LeaderRecord | undefined)[] = [];

  /** For each node: up to where it has read the log, and the leases that it derives from that. */
  readonly #readers = [0, 1, 2].map((i) => ({
    next: 0,
    former: new FormerLeases(`n${i}`, 10_000),
  }));

  /** Performs one step; `a` and `b` choose whom it concerns and how it goes. */
  run(kind: string, a: number, b: number): void {
    const term = this.#terms[a % Math.max(1, this.#terms.length)];
    const worker = WORKERS[b % WORKERS.length]!;
    if (kind === 'wait') this.#nowMs += a * 150;
    else if (kind === 'read') this.#read(a % this.#readers.length);
    else if (kind === 'claim') this.#claim(a % this.#readers.length, b * 200, b % 2 === 0);
    else if (kind === 'restart') this.#restart(a % this.#readers.length);
    else if (kind === 'reload') this.#reload(a % this.#readers.length);
    else if (kind === 'delegate') this.#renewGranted(this.#grants.at(-1 - b));
    else if (!term || term.isOver) return;
    else if (kind === 'write') this.#write(term, b);
    else if (kind === 'renew') this.#renew(term, worker);
    else if (kind === 'grant') this.#grant(term, worker);
    else if (kind === 'read-back') readBack(term, b % 2 === 0);
    else term.silent.add(worker);
  }

  #read(index: number): void {
    const reader = this.#readers[index]!;
    for (; reader.next < this.#log.length; reader.next += 1) {
      const rec = this.#log[reader.next];
      if (rec) reader.former.recordRead(rec, this.#nowMs);
      else reader.former.heartbeatRead(this.#nowMs);
    }
  }

  /** The node restarts, and reads only the newest record. */
  #restart(index: number): void {
    const former = new FormerLeases(`n${index}`, this.#nowMs);
    for (const term of this.#terms) {
      if (term.former === this.#readers[index]!.former) term.isOver = true;
    }
    this.#readers[index] = { next: this.#log.length, former };
    const newest = this.#log.findLast((rec) => rec !== undefined);
    if (newest) former.recordRead(newest, this.#nowMs);
  }

  /** Records that the node has not read have expired: it continues from the newest one. */
  #reload(index: number): void {
    const reader = this.#readers[index]!;
    const newest = this.#log.findLast((rec) => rec !== undefined);
    reader.former.viewReset();
    if (newest) reader.former.recordRead(newest, this.#nowMs);
    reader.next = this.#log.length;
  }

  /** A claim is sent, and stored `lateMs` later; its node reads the log up to the claim. */
  #claim(index: number, lateMs: number, usesDetector: boolean): void {
    this.#read(index);
    const { former } = this.#readers[index]!;
    const before = this.#log.findLast((rec) => rec !== undefined);
    const sentMs = this.#nowMs;
    const claim = {
      epoch: (before?.epoch ?? 0) + 1,
      node: `n${index}`,
      nonce: `${this.#log.length}`,
      resigned: false,
      leasesMs: CLAIM_LEASE_MS,
      formerMs: Math.max(withClockDrift(CONFIRMED_LEASE_MS), former.allEndMs - sentMs),
      silent: {},
      number: 0,
      ...(lateMs > 0 && { delegates: true }),
    };
    former.claiming(claim.nonce);
    this.#nowMs += lateMs;
    this.#log.push(claim);
    this.#read(index);
    this.#terms.push(new Term(claim, sentMs, former, usesDetector));
    for (const [id, worker] of this.#workers) this.#check(id, worker);
  }

  /** An append of the leader record or of other records; it is answered, or its answer is lost. */
  #write(term: Term, b: number): void {
    if (term.epoch !== this.#terms.at(-1)!.epoch) {
      Object.assign(term, { isOver: true });
      return;
    }
    if (!term.pending) {
      const { silent, isComplete } = term.listed(b !== 1, b === 2, this.#nowMs);
      const hasChanged = term.leases.updateSilent(silent, isComplete);
      const resigns = b > 7;
      const isRecord = hasChanged || resigns || b === 0;
      const rec = isRecord ? term.leases.record(resigns, this.#nowMs) : undefined;
      this.#log.push(rec);
      Object.assign(term, { pending: { rec, sentMs: this.#nowMs } });
    }
    // After a lost answer the next step of this kind repeats the append; other steps may come between.
    if (b % 3 === 0) return;
    const { rec, sentMs } = term.pending!;
    Object.assign(term, {
      confirmedMs: sentMs,
      pending: undefined,
      isOver: rec?.resigned ?? false,
    });
    if (rec) term.leases.recordStored();
  }

  #renew(term: Term, id: string): void {
    const worker = this.#workers.get(id)!;
    if (worker.token > term.epoch) {
      Object.assign(term, { isOver: true });
      return;
    }
    worker.token = term.epoch;
    if (!term.reached.has(id)) term.endsMs.set(id, this.#nowMs + withClockDrift(LEASE_MS));
    term.reached.add(id);
    term.silent.delete(id);
    term.answeredMs.set(id, this.#nowMs);
    term.detector.contacted(id);
    const leaseMs = Math.min(LEASE_MS, term.leases.limitMs(id, this.#nowMs));
    if (leaseMs <= 0) return;
    const boundMs = this.#nowMs + withClockDrift(leaseMs);
    term.endsMs.set(id, Math.max(term.endsMs.get(id)!, boundMs));
    worker.leaseEndMs = Math.max(worker.leaseEndMs, this.#nowMs + leaseMs * CLOCK_DRIFT_FACTOR);
    this.#check(id, worker);
  }

  /** The leader grants other nodes renewals, counted from the worker's newest answer. */
  #grant(term: Term, id: string): void {
    const limitMs = term.leases.limitMs(id, this.#nowMs);
    const answeredMs = term.answeredMs.get(id) ?? -Infinity;
    if (!term.hasDelegates || limitMs <= 0 || this.#nowMs - answeredMs > 2_000) return;
    const leaseMs = Math.min(CONFIRMED_LEASE_MS, this.#nowMs + limitMs - answeredMs);
    const boundMs = answeredMs + withClockDrift(leaseMs);
    term.leases.grantSent(boundMs);
    term.detector.contacted(id);
    term.endsMs.set(id, Math.max(term.endsMs.get(id)!, boundMs));
    const endMs = answeredMs + leaseMs * CLOCK_DRIFT_FACTOR;
    this.#grants.push({ id, token: term.epoch, endMs });
  }

  /** A delegate renews a lease, whatever has happened to its leader. */
  #renewGranted(grant: Grant | undefined): void {
    if (!grant) return;
    const worker = this.#workers.get(grant.id)!;
    if (worker.token > grant.token) return;
    const longestMs = this.#nowMs + LEASE_MS * CLOCK_DRIFT_FACTOR;
    worker.leaseEndMs = Math.max(worker.leaseEndMs, Math.min(grant.endMs, longestMs));
    this.#check(grant.id, worker);
  }

  /**
   * Neither the leader whose token the worker has seen nor a later one that has not reached it may
   * take its lease to expire too early.
   */
  #check(id: string, { token, leaseEndMs }: Worker): void {
    for (const later of this.#terms) {
      const isUnreached = later.epoch > token && !later.reached.has(id);
      if (!later.isOver && (isUnreached || later.epoch === token)) {
        const assumedEndMs = later.endsMs.get(id)!;
        assert.ok(assumedEndMs >= leaseEndMs, `${id}: ${assumedEndMs} before ${leaseEndMs}`);
      }
    }
  }
}

/** Maximum number of steps of one case. */
const MAX_STEPS = 60;

/** Number of generated cases, which take about a second. */
const CASES = 10_000;

/** The kinds of steps; a kind that is listed several times is drawn more often. */
const KINDS = [
  ...['wait', 'wait', 'read', 'read', 'claim', 'restart', 'reload', 'read-back', 'silent'],
  ...['write', 'write', 'write', 'renew', 'renew', 'renew', 'grant', 'grant', 'delegate'],
];

const STEP = fc.tuple(fc.constantFrom(...KINDS), fc.nat(9), fc.nat(9));

test('no later leader takes a lease to have expired before it has', () => {
  // Leaders follow each other, sometimes before the previous one knows that it is replaced; records are
  // read late, answers are lost, nodes restart. Guards against a leader that takes a lease to have
  // expired too early: it would start a task that still runs elsewhere, and a booking would be made
  // twice.
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: MAX_STEPS, size: 'max' }), (steps) => {
      const simulation = new Simulation();
      for (const [kind, a, b] of steps) simulation.run(kind, a, b);
    }),
    { numRuns: Number(process.env.LEASE_RUNS ?? CASES) },
  );
});

test('the wait for the leases of a lost worker does not restart with each new term', () => {
  // The first leader names a lost worker in its record, then the leader changes twice. The last leader
  // must take the leases of the worker to expire at the same time as the first one did.
  const record = (epoch: number, leasesMs: number, silent: LeaderRecord['silent']): LeaderRecord =>
    leaderRecord({ epoch, node: `n${epoch}`, nonce: '', leasesMs, silent });
  const former = new FormerLeases('n9', 0);
  former.recordRead(record(1, CONFIRMED_LEASE_MS, { w1: 5_000 }), 1_000);
  former.recordRead(record(2, CLAIM_LEASE_MS, {}), 3_000);
  former.recordRead(record(2, CONFIRMED_LEASE_MS, { w1: 2_500 }), 3_500);
  former.recordRead(record(3, CLAIM_LEASE_MS, {}), 4_000);
  assert.equal(former.namedEndMs.get('w1'), 6_000);
  assert.equal(former.generalEndMs, 3_500 + withClockDrift(CONFIRMED_LEASE_MS));
});

test('a leader that resigns renews no lease beyond the bound of its last record', () => {
  // Guards against leases that outlast the wait of the next leader while the last record is unanswered.
  const writer = { confirmedMs: 900 };
  const leases = new TermLeases(leaderRecord(), writer, new FormerLeases('n1', 0));
  leases.updateSilent([], true);
  leases.record(false, 900);
  leases.recordStored();
  assert.equal(leases.limitMs('w1', 1_000), 900 + CONFIRMED_LEASE_MS - 1_000);
  assert.equal(leases.record(true, 1_000).leasesMs, LEASE_MS);
  assert.equal(leases.limitMs('w1', 3_000), 1_000 + LEASE_MS - 3_000);
});
