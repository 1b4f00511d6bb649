import { RENEW_RETRY_MS, RENEW_WAIT_MS, MAX_ROUND_INTERVAL_MS } from '@redwingcrank/runtime/leases';
import { CRASH_NOTICE_MS } from './jobs-world.js';
import type { JobsWorld } from './jobs-world.js';
import {
  ACK_WAIT_MS,
  RECOVERY_STEP_MS,
  MAX_DOWNTIME_MS,
  MAX_TAKEOVER_DOWNTIME_MS,
} from './downtime-bounds.js';
import type { ModelLeader } from './model-leader.js';
import type { ModelWorker } from './model-worker.js';

/** A time within which every task must have recovered, in milliseconds. */
export const FULL_RECOVERY_MS = MAX_DOWNTIME_MS + MAX_TAKEOVER_DOWNTIME_MS;

/** The number of starts after which a crashing task is given up at the latest. */
const MAX_CRASHING_STARTS = 5;

/**
 * A time within which a crashing task is given up, in milliseconds: each start waits until the
 * crash before it is known.
 */
const GIVE_UP_MS = MAX_CRASHING_STARTS * (CRASH_NOTICE_MS + MAX_ROUND_INTERVAL_MS);

/**
 * The end of every run: cut connections are restored, the store is up, and one leader stays active.
 * Long-running tasks must run again within a bounded time whatever happened before, and again
 * after one worker is lost, with or without the leader.
 */
export class RecoveryPhase {
  readonly #world: JobsWorld;

  readonly #startedMs: number;

  /** When the current leader sends its next renewal, by worker. */
  readonly #nextRenewalMs = new Map<string, number>();

  /** Workers whose listed ends must be stored before their next renewal. */
  readonly #awaitingAck = new Set<string>();

  /** When the first leader was lost during this phase; -Infinity if no leader was lost. */
  #leaderLostMs = -Infinity;

  #nextRoundMs = 0;

  /** Whether an append of the current leader is in progress. */
  isAppendPending = false;

  /** The id of the worker that stop orders do not reach; empty if there is no such worker. */
  workerWithoutStops = '';

  /** The id of the worker whose answers to renewals are lost; empty if there is no such worker. */
  workerWithoutAnswers = '';

  constructor(world: JobsWorld) {
    this.#world = world;
    this.#startedMs = world.nowMs;
  }

  /** Restores the store and all connections but those of the worker at `cutIndex`, if there is one. */
  restore(cutIndex: number): void {
    const world = this.#world;
    Object.assign(world, { isStoreUp: true });
    world.wakeNodes();
    world.endEvacuations();
    for (const [index, worker] of world.workers.entries()) {
      if (index !== cutIndex) {
        worker.isCut = false;
        world.currentLeader.unreachable.delete(worker.entry.id);
      }
    }
  }

  /** Restores the connections as `restore`, and waits until the long-running tasks run again. */
  heal(cutIndex: number): void {
    const world = this.#world;
    this.restore(cutIndex);
    // Only long-running and crashing tasks remain, so there is capacity for them.
    for (const id of world.jobIds) {
      if (!world.isLongRunning(id) && !world.isCrashing(id)) world.cancel(id);
    }
    this.advance(FULL_RECOVERY_MS);
    this.#exhaustCrashing();
  }

  /** Waits until the crashing task, if there is one, is given up. */
  #exhaustCrashing(): void {
    const world = this.#world;
    if (!world.hasCrashingTask) return;
    this.advance(GIVE_UP_MS);
    if (world.hasCrashingTask) throw new Error('the crashing task is not given up');
    this.advance(FULL_RECOVERY_MS);
  }

  /** Returns the worker with the most runs; among equals the first one from `index` on. */
  busiest(index: number): ModelWorker {
    const { workers } = this.#world;
    const from = index % workers.length;
    const rotated = [...workers.slice(from), ...workers.slice(0, from)];
    return rotated.reduce((a, b) => (b.running.length > a.running.length ? b : a));
  }

  /** Ends the leader's process; there is no leader for the given time, in milliseconds. */
  loseLeader(leaderlessMs: number): void {
    Object.assign(this.#world.currentLeader, { hasEnded: true });
    this.expectNewLeader();
    this.advance(leaderlessMs);
  }

  /** Prepares for the replacement of the current leader. */
  expectNewLeader(): void {
    // Losing a second leader soon afterwards does not extend the allowed downtime.
    if (this.#leaderLostMs === -Infinity) this.#leaderLostMs = this.#world.nowMs;
    this.#nextRenewalMs.clear();
    this.#awaitingAck.clear();
  }

  /** Advances the time by `ms`; the current leader renews leases and runs its rounds meanwhile. */
  advance(ms: number): void {
    const endMs = this.#world.nowMs + ms;
    while (this.#world.nowMs < endMs) this.#step();
  }

  #step(): void {
    const world = this.#world;
    world.passTime(RECOVERY_STEP_MS);
    // A replaced leader may continue for a while without knowing that it is replaced.
    for (const leader of world.leaders) if (leader !== world.currentLeader) this.#renewAll(leader);
    this.#renewDue();
    this.#deliverAll();
    if (world.nowMs >= this.#nextRoundMs) this.#round();
    world.oracle.checkDowntime((sinceMs) => this.#recoveryDeadlineMs(sinceMs));
  }

  #round(): void {
    const { currentLeader, nowMs } = this.#world;
    this.#nextRoundMs = nowMs + MAX_ROUND_INTERVAL_MS;
    this.#world.list(currentLeader);
    if (this.isAppendPending) currentLeader.sendStops(nowMs);
    else this.#world.round(currentLeader, 'answered');
  }

  /** Returns by when a long-running task that is down since `sinceMs` must run again. */
  #recoveryDeadlineMs(sinceMs: number): number {
    const currentLeaderMs = Math.max(sinceMs, this.#world.lastRemovalMs) + MAX_DOWNTIME_MS;
    // About leaders before this phase it is only known that they have been replaced.
    const formerLeadersMs =
      Math.max(this.#leaderLostMs, this.#startedMs) + MAX_TAKEOVER_DOWNTIME_MS;
    return Math.max(currentLeaderMs, formerLeadersMs);
  }

  #renewAll(leader: ModelLeader): void {
    for (const worker of this.#world.workers) this.#world.renew(leader, worker, 'answered');
  }

  #renewDue(): void {
    const { currentLeader, nowMs } = this.#world;
    for (const id of currentLeader.scheduler.workers.keys()) {
      if (nowMs >= (this.#nextRenewalMs.get(id) ?? 0)) this.#renew(currentLeader, id, nowMs);
    }
  }

  #renew(leader: ModelLeader, id: string, nowMs: number): void {
    const worker = this.#world.workers.find(({ entry }) => entry.id === id);
    const isAnswerDelivered = id !== this.workerWithoutAnswers;
    if (worker && leader.reaches(worker)) {
      this.#world.renew(leader, worker, isAnswerDelivered ? 'answered' : 'unanswered');
    } else {
      // A pending renewal gets no answer. If none is pending, after ends or a lost renewal, one is
      // sent that never arrives.
      if (this.#awaitingAck.has(id) || leader.isRenewalLost(id)) leader.renew(id, nowMs);
      leader.renewalLost(id);
    }
    const hasUnacknowledgedEnds = worker?.hasUnacknowledgedEnds ?? false;
    if (hasUnacknowledgedEnds) this.#awaitingAck.add(id);
    else this.#awaitingAck.delete(id);
    this.#nextRenewalMs.set(id, nowMs + this.#renewalDelayMs(worker, isAnswerDelivered));
  }

  #renewalDelayMs(worker: ModelWorker | undefined, isAnswerDelivered: boolean): number {
    if (!worker || !isAnswerDelivered || !this.#world.currentLeader.reaches(worker))
      return RENEW_RETRY_MS;
    return worker.hasUnacknowledgedEnds ? ACK_WAIT_MS : RENEW_WAIT_MS;
  }

  #deliverAll(): void {
    const { currentLeader } = this.#world;
    if (currentLeader.hasEnded) return;
    for (const sent of [...currentLeader.inFlight]) {
      const isLost = sent.order.kind === 'stop' && sent.order.worker === this.workerWithoutStops;
      if (isLost) this.#world.drop(currentLeader, sent);
      else this.#world.deliver(currentLeader, currentLeader.inFlight.indexOf(sent), false);
    }
  }
}
