import { SILENT_WORKER_MS } from '@redwingcrank/runtime/leases';
import type { RecoveryPhase } from './recovery-phase.js';
import { FULL_RECOVERY_MS } from './recovery-phase.js';
import type { JobsWorld } from './jobs-world.js';
import { RECOVERY_STEP_MS } from './downtime-bounds.js';
import type { ModelWorker } from './model-worker.js';

/** The failures that may occur during the recovery phase. */
export const LOSSES = [
  'vanish',
  'leave',
  'leave-unstopped',
  'leave-unstored',
  'leave-with-leader',
  'with-leader',
  'with-two-leaders',
  'with-restarted-leader',
  'frozen-leader',
  'isolated-leader',
  'resigned-leader',
  'restarted-leader',
  'unstored-names',
  'unstored-lengths',
  'late-answer',
  'expired-log',
  'unheard-worker',
] as const;

export type Loss = (typeof LOSSES)[number];

/** The time until a lost leader is replaced, in milliseconds. */
const TAKEOVER_MS = 2_000;

/** The time until a restarted leader schedules again, in milliseconds. */
const RESTART_MS = 1_000;

/** The term of a leader that is lost right after it has taken over, in milliseconds. */
const SHORT_TERM_MS = 500;

/** How long before it leaves a worker announces that, in milliseconds. */
const LEAVING_MS = 4_000;

/** How long the store accepts no append, in milliseconds. */
const OUTAGE_MS = 3_000;

/** Causes one failure in the recovery phase; all tasks that ran must run again in time. */
export class FinalLoss {
  readonly #world: JobsWorld;

  readonly #recovery: RecoveryPhase;

  readonly #worker: ModelWorker;

  readonly #losses: Readonly<Record<Loss, () => void>> = {
    vanish: () => this.#world.vanish(this.#worker),
    leave: () => this.#leave(),
    'leave-unstopped': () => this.#leaveUnstopped(),
    'leave-unstored': () => this.#leaveUnstored(),
    'leave-with-leader': () => this.#leaveWithLeader(),
    'with-leader': () => this.#vanishWithLeader(),
    'with-two-leaders': () => this.#vanishWithTwoLeaders(),
    'with-restarted-leader': () => this.#vanishWithRestartedLeader(),
    'frozen-leader': () => this.#freezeLeader(),
    'isolated-leader': () => this.#isolateLeader(),
    'resigned-leader': () => this.#resignLeader(),
    'restarted-leader': () => this.#restartLeader(),
    'unstored-names': () => this.#loseNames(),
    'unstored-lengths': () => this.#loseLengths(),
    'late-answer': () => this.#answerLate(),
    'expired-log': () => this.#expireLog(),
    'unheard-worker': () => this.#loseAnswers(),
  };

  /** The affected worker is the busiest one; among equals the first one from `index` on. */
  constructor(world: JobsWorld, recovery: RecoveryPhase, index: number) {
    this.#world = world;
    this.#recovery = recovery;
    this.#worker = recovery.busiest(index);
  }

  run(loss: Loss): void {
    this.#world.coverage.hit(`lost: ${loss}`);
    this.#losses[loss]();
    this.#recovery.advance(LEAVING_MS + FULL_RECOVERY_MS);
  }

  get #id(): string {
    return this.#worker.entry.id;
  }

  /** The first stop orders are lost, but there is time to send more. */
  #leave(): void {
    this.#leaveUnstopped();
    this.#recovery.advance(LEAVING_MS / 4);
    this.#recovery.workerWithoutStops = '';
    this.#recovery.advance((LEAVING_MS * 3) / 4 - RECOVERY_STEP_MS);
    this.#world.oracle.checkEvacuated(this.#id);
  }

  /** The worker announces that it leaves, and no stop order reaches it. */
  #leaveUnstopped(): void {
    this.#recovery.workerWithoutStops = this.#id;
    this.#world.leave(this.#worker, LEAVING_MS, true);
  }

  /** Stop orders need no stored record, so they are sent while an append is unanswered. */
  #leaveUnstored(): void {
    this.#world.round(this.#world.currentLeader, 'unanswered');
    this.#recovery.isAppendPending = true;
    this.#world.leave(this.#worker, LEAVING_MS, true);
    this.#recovery.advance(LEAVING_MS / 2);
    this.#world.oracle.checkEvacuated(this.#id);
    this.#recovery.isAppendPending = false;
  }

  #leaveWithLeader(): void {
    this.#leaveUnstopped();
    this.#recovery.advance(LEAVING_MS / 2);
    this.#replaceLeader();
  }

  #vanishWithLeader(): void {
    this.#world.vanish(this.#worker);
    this.#replaceLeader();
  }

  #vanishWithTwoLeaders(): void {
    this.#vanishWithLeader();
    this.#recovery.advance(SHORT_TERM_MS);
    this.#replaceLeader();
  }

  #vanishWithRestartedLeader(): void {
    this.#world.vanish(this.#worker);
    this.#recovery.loseLeader(RESTART_MS);
    this.#world.restartLeader();
  }

  /**
   * The leader is frozen after it has stored a start but not sent it. It wakes long after the next
   * leader, which does not reach that worker, has started the task elsewhere.
   */
  #freezeLeader(): void {
    const world = this.#world;
    const frozen = world.currentLeader;
    world.end(this.#worker, 0, 'failed');
    world.renew(frozen, this.#worker, 'answered');
    world.round(frozen, 'answered');
    this.#replaceLeader();
    for (const { order } of frozen.inFlight) world.currentLeader.unreachable.add(order.worker);
    this.#recovery.advance(FULL_RECOVERY_MS);
    Object.assign(frozen, { hasEnded: false });
    for (const sent of [...frozen.inFlight]) frozen.resend(sent, world.nowMs);
    while (frozen.inFlight.length > 0) world.deliver(frozen, 0, false);
  }

  /** The leader does not know that it is replaced, and is the only one to reach the worker. */
  #isolateLeader(): void {
    this.#recovery.expectNewLeader();
    this.#cutOtherWorkers();
    this.#world.elect();
    this.#cutWorker();
  }

  /** The leader does not know that its resignation is stored, and is the only one to reach the worker. */
  #resignLeader(): void {
    this.#recovery.expectNewLeader();
    this.#cutOtherWorkers();
    this.#world.resign();
    this.#cutWorker();
  }

  /**
   * Lets the current leader reach only that worker: any other worker would report to it that it is
   * replaced.
   */
  #cutOtherWorkers(): void {
    const { workers, currentLeader } = this.#world;
    for (const { entry } of workers)
      if (entry.id !== this.#id) currentLeader.unreachable.add(entry.id);
  }

  /** The leader's next incarnation does not reach a worker that the previous one reached. */
  #restartLeader(): void {
    this.#recovery.loseLeader(RESTART_MS);
    this.#world.restartLeader();
    this.#cutWorker();
  }

  /**
   * The leader's record lists the worker as silent. Then the worker answers again, but the record
   * without it is not stored: the next leader, which does not reach the worker, uses the old record.
   */
  #loseNames(): void {
    this.#cutWorker();
    this.#recovery.advance(2 * SILENT_WORKER_MS);
    this.#world.currentLeader.unreachable.delete(this.#id);
    this.#world.renew(this.#world.currentLeader, this.#worker, 'answered');
    this.#loseAppend();
    this.#replaceLeader();
    this.#cutWorker();
  }

  /** Loses a leader's first record, which allows longer leases than the leader's claim. */
  #loseLengths(): void {
    this.#replaceLeader();
    this.#world.renew(this.#world.currentLeader, this.#worker, 'answered');
    this.#loseAppend();
    this.#replaceLeader();
    this.#cutWorker();
  }

  /** Other nodes read an append at once; the leader gets the confirmation after sending it again. */
  #answerLate(): void {
    const { currentLeader } = this.#world;
    this.#world.round(currentLeader, 'unanswered');
    this.#recovery.isAppendPending = true;
    this.#recovery.advance(OUTAGE_MS);
    this.#recovery.isAppendPending = false;
    this.#world.round(currentLeader, 'answered');
    this.#world.renew(currentLeader, this.#worker, 'answered');
    this.#replaceLeader();
    this.#cutWorker();
  }

  /**
   * A node is frozen for a long time, and the log entries that it has not read expire. It does not
   * know of the leader changes in between when it takes over from a leader without a record yet.
   */
  #expireLog(): void {
    const world = this.#world;
    world.freezeNode(world.currentLeader.epoch + 2);
    this.#recovery.advance(4 * OUTAGE_MS);
    this.#cutOtherWorkers();
    world.elect();
    this.#cutWorker();
    Object.assign(world.currentLeader, { hasEnded: true });
    this.#recovery.advance(4 * RECOVERY_STEP_MS);
    this.#recovery.expectNewLeader();
    world.elect();
    this.#cutWorker();
  }

  /** Loses the worker's answers to renewals, then disconnects the worker. */
  #loseAnswers(): void {
    this.#recovery.workerWithoutAnswers = this.#id;
    this.#recovery.advance(SILENT_WORKER_MS);
    this.#worker.isCut = true;
  }

  #loseAppend(): void {
    this.#world.round(this.#world.currentLeader, 'lost');
    this.#recovery.isAppendPending = true;
    this.#recovery.advance(OUTAGE_MS);
    this.#recovery.isAppendPending = false;
  }

  /** Cuts the connection between the current leader and the worker. */
  #cutWorker(): void {
    this.#world.currentLeader.unreachable.add(this.#id);
  }

  /** Ends the leader's process; another node takes over once that has been detected. */
  #replaceLeader(): void {
    this.#recovery.loseLeader(TAKEOVER_MS);
    this.#world.elect();
  }
}
