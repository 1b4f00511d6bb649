import { RENEW_RETRY_MS, RENEW_WAIT_MS, MAX_ROUND_INTERVAL_MS } from '@redwingcrank/runtime/leases';
import type { JobsWorld } from './jobs-world.js';
import { ACK_WAIT_MS, CALM_STEP_MS, PRESENT_AWAY_MS, TAKEOVER_AWAY_MS } from './lease-figures.js';
import type { ModelLeader } from './model-leader.js';
import type { ModelWorker } from './model-worker.js';

/** Long enough for every bound to be reached, in milliseconds. */
export const ALL_BACK_MS = PRESENT_AWAY_MS + TAKEOVER_AWAY_MS;

/**
 * The end of every run: what was cut heals, the store is up, and one leader acts all the while.
 * Lasting tasks must be back at work in bounded time after whatever came before, and again after
 * one worker is lost, with the leader or without.
 */
export class CalmPhase {
  readonly #world: JobsWorld;

  readonly #sinceMs: number;

  /** When each link of the present leader renews next, by worker. */
  readonly #renewMs = new Map<string, number>();

  /** Workers whose ends must be stored before they are asked again. */
  readonly #waitsForAck = new Set<string>();

  /** When the first leader was lost in the calm. */
  #leaderLostMs = -Infinity;

  #roundMs = 0;

  /** An append of the present leader is under way. */
  isStoring = false;

  /** The worker that stop orders do not reach. */
  unstopped = '';

  /** The worker that renewals reach, and whose answers are lost. */
  unheard = '';

  constructor(world: JobsWorld) {
    this.#world = world;
    this.#sinceMs = world.nowMs;
  }

  /** Heals everything but the cuts of one worker, if `cutIndex` names one. */
  heal(cutIndex: number): void {
    const world = this.#world;
    Object.assign(world, { isStoreUp: true });
    world.wakeNodes();
    for (const [index, worker] of world.workers.entries()) {
      if (index !== cutIndex) {
        worker.isCut = false;
        world.present.unreachable.delete(worker.entry.id);
      }
    }
    // Only lasting tasks are left, so there is room for them.
    for (const id of world.jobIds) if (!world.isLasting(id)) world.cancel(id);
    this.act(ALL_BACK_MS);
  }

  /** The worker with the most runs, of equals the one that `index` leads to. */
  busiest(index: number): ModelWorker {
    const { workers } = this.#world;
    const from = index % workers.length;
    const turned = [...workers.slice(from), ...workers.slice(0, from)];
    return turned.reduce((a, b) => (b.running.length > a.running.length ? b : a));
  }

  /** The leader's process ends, and for a while nobody schedules. */
  loseLeader(goneMs: number): void {
    Object.assign(this.#world.present, { isOver: true });
    this.leaderGoes();
    this.act(goneMs);
  }

  /** The present leader will soon be another one. */
  leaderGoes(): void {
    // That one more goes soon after makes nothing wait longer.
    if (this.#leaderLostMs === -Infinity) this.#leaderLostMs = this.#world.nowMs;
    this.#renewMs.clear();
    this.#waitsForAck.clear();
  }

  /** Time passes, and the present leader does what it has to. */
  act(ms: number): void {
    const endMs = this.#world.nowMs + ms;
    while (this.#world.nowMs < endMs) this.#step();
  }

  #step(): void {
    const world = this.#world;
    world.passTime(CALM_STEP_MS);
    // A leader that was replaced may go on for a while without knowing.
    for (const leader of world.leaders) if (leader !== world.present) this.#renewAll(leader);
    this.#renewDue();
    this.#deliverAll();
    if (world.nowMs >= this.#roundMs) this.#round();
    world.oracle.checkAway((sinceMs) => this.#dueMs(sinceMs));
  }

  #round(): void {
    const { present, nowMs } = this.#world;
    this.#roundMs = nowMs + MAX_ROUND_INTERVAL_MS;
    this.#world.list(present);
    if (this.isStoring) present.sendStops(nowMs);
    else this.#world.round(present, 'answered');
  }

  /** When a lasting task that is away since then must be back at the latest. */
  #dueMs(sinceMs: number): number {
    const presentMs = Math.max(sinceMs, this.#world.lostMs) + PRESENT_AWAY_MS;
    // Of leaders before the calm nothing is known but that they are replaced.
    const formerMs = Math.max(this.#leaderLostMs, this.#sinceMs) + TAKEOVER_AWAY_MS;
    return Math.max(presentMs, formerMs);
  }

  #renewAll(leader: ModelLeader): void {
    for (const worker of this.#world.workers) this.#world.renew(leader, worker, 'answered');
  }

  #renewDue(): void {
    const { present, nowMs } = this.#world;
    for (const id of present.scheduler.workers.keys()) {
      if (nowMs >= (this.#renewMs.get(id) ?? 0)) this.#renew(present, id, nowMs);
    }
  }

  #renew(leader: ModelLeader, id: string, nowMs: number): void {
    const worker = this.#world.workers.find(({ entry }) => entry.id === id);
    const isHeard = id !== this.unheard;
    if (worker && leader.reaches(worker)) {
      this.#world.renew(leader, worker, isHeard ? 'answered' : 'unanswered');
    } else {
      // The one that was waiting there got no answer; where none was, one is sent in vain.
      if (this.#waitsForAck.has(id) || leader.isLost(id)) leader.renew(id, nowMs);
      leader.missed(id);
    }
    const hasEnds = worker?.hasEnds ?? false;
    if (hasEnds) this.#waitsForAck.add(id);
    else this.#waitsForAck.delete(id);
    this.#renewMs.set(id, nowMs + this.#pauseMs(worker, isHeard));
  }

  #pauseMs(worker: ModelWorker | undefined, isHeard: boolean): number {
    if (!worker || !isHeard || !this.#world.present.reaches(worker)) return RENEW_RETRY_MS;
    return worker.hasEnds ? ACK_WAIT_MS : RENEW_WAIT_MS;
  }

  #deliverAll(): void {
    const { present } = this.#world;
    if (present.isOver) return;
    for (const sent of [...present.inFlight]) {
      const isLost = sent.order.kind === 'stop' && sent.order.worker === this.unstopped;
      if (isLost) this.#world.drop(present, sent);
      else this.#world.deliver(present, present.inFlight.indexOf(sent), false);
    }
  }
}
