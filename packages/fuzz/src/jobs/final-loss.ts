import { SILENT_WORKER_MS } from '@redwingcrank/runtime/leases';
import type { CalmPhase } from './calm-phase.js';
import { ALL_BACK_MS } from './calm-phase.js';
import type { JobsWorld } from './jobs-world.js';
import { CALM_STEP_MS } from './lease-figures.js';
import type { ModelWorker } from './model-worker.js';

/** What is lost in the calm, and how. */
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

/** A lost leader is replaced after so long, in milliseconds. */
const TAKEOVER_MS = 2_000;

/** A leader that is started again schedules after so long, in milliseconds. */
const RESTART_MS = 1_000;

/** A leader that is lost right after it has taken over has been at it for so long, in ms. */
const SHORT_TERM_MS = 500;

/** A worker announces that it leaves so long before it does, in milliseconds. */
const LEAVING_MS = 4_000;

/** The store takes no append for so long, in milliseconds. */
const OUTAGE_MS = 3_000;

/** Carries out one loss in a calm world; whatever was at work must be at work again in time. */
export class FinalLoss {
  readonly #world: JobsWorld;

  readonly #calm: CalmPhase;

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

  /** The worker that it meets is the busiest, of equals the one that `index` leads to. */
  constructor(world: JobsWorld, calm: CalmPhase, index: number) {
    this.#world = world;
    this.#calm = calm;
    this.#worker = calm.busiest(index);
  }

  run(loss: Loss): void {
    this.#world.coverage.hit(`lost: ${loss}`);
    this.#losses[loss]();
    this.#calm.act(LEAVING_MS + ALL_BACK_MS);
  }

  get #id(): string {
    return this.#worker.entry.id;
  }

  /** The first stops are lost; there is time for more. */
  #leave(): void {
    this.#leaveUnstopped();
    this.#calm.act(LEAVING_MS / 4);
    this.#calm.unstopped = '';
    this.#calm.act((LEAVING_MS * 3) / 4 - CALM_STEP_MS);
    this.#world.oracle.checkEvacuated(this.#id);
  }

  /** The worker announces that it leaves, and no stop order reaches it. */
  #leaveUnstopped(): void {
    this.#calm.unstopped = this.#id;
    this.#world.leave(this.#worker, LEAVING_MS, true);
  }

  /** Stops need nothing stored, so they go out while an append gets no answer. */
  #leaveUnstored(): void {
    this.#world.round(this.#world.present, 'unanswered');
    this.#calm.isStoring = true;
    this.#world.leave(this.#worker, LEAVING_MS, true);
    this.#calm.act(LEAVING_MS / 2);
    this.#world.oracle.checkEvacuated(this.#id);
    this.#calm.isStoring = false;
  }

  #leaveWithLeader(): void {
    this.#leaveUnstopped();
    this.#calm.act(LEAVING_MS / 2);
    this.#replaceLeader();
  }

  #vanishWithLeader(): void {
    this.#world.vanish(this.#worker);
    this.#replaceLeader();
  }

  #vanishWithTwoLeaders(): void {
    this.#vanishWithLeader();
    this.#calm.act(SHORT_TERM_MS);
    this.#replaceLeader();
  }

  #vanishWithRestartedLeader(): void {
    this.#world.vanish(this.#worker);
    this.#calm.loseLeader(RESTART_MS);
    this.#world.restartLeader();
  }

  /**
   * The leader is frozen when it has stored a start and not sent it, and wakes when the next one,
   * which does not reach that worker, has long started the task elsewhere.
   */
  #freezeLeader(): void {
    const world = this.#world;
    const frozen = world.present;
    world.end(this.#worker, 0, 'failed');
    world.renew(frozen, this.#worker, 'answered');
    world.round(frozen, 'answered');
    this.#replaceLeader();
    for (const { order } of frozen.inFlight) world.present.unreachable.add(order.worker);
    this.#calm.act(ALL_BACK_MS);
    Object.assign(frozen, { isOver: false });
    for (const sent of [...frozen.inFlight]) frozen.resend(sent, world.nowMs);
    while (frozen.inFlight.length > 0) world.deliver(frozen, 0, false);
  }

  /** The leader does not know that it is replaced, and alone reaches the worker. */
  #isolateLeader(): void {
    this.#calm.leaderGoes();
    this.#leaveNothingElse();
    this.#world.elect();
    this.#cutOff();
  }

  /** The leader does not know that its resignation is stored, and alone reaches the worker. */
  #resignLeader(): void {
    this.#calm.leaderGoes();
    this.#leaveNothingElse();
    this.#world.resign();
    this.#cutOff();
  }

  /** From now on the present leader reaches that worker alone: any other would tell it the truth. */
  #leaveNothingElse(): void {
    const { workers, present } = this.#world;
    for (const { entry } of workers) if (entry.id !== this.#id) present.unreachable.add(entry.id);
  }

  /** The next life of the leader does not reach a worker that the one before did. */
  #restartLeader(): void {
    this.#calm.loseLeader(RESTART_MS);
    this.#world.restartLeader();
    this.#cutOff();
  }

  /**
   * The worker is named as silent. Then it answers again, but the record without its name is not
   * stored: the next leader, which does not reach the worker, goes by the one that names it.
   */
  #loseNames(): void {
    this.#cutOff();
    this.#calm.act(2 * SILENT_WORKER_MS);
    this.#world.present.unreachable.delete(this.#id);
    this.#world.renew(this.#world.present, this.#worker, 'answered');
    this.#loseAppend();
    this.#replaceLeader();
    this.#cutOff();
  }

  /** A leader's first record is lost that lets leases last longer than its claim does. */
  #loseLengths(): void {
    this.#replaceLeader();
    this.#world.renew(this.#world.present, this.#worker, 'answered');
    this.#loseAppend();
    this.#replaceLeader();
    this.#cutOff();
  }

  /** An append is read by others at once, and confirmed to the leader when it is sent again. */
  #answerLate(): void {
    const { present } = this.#world;
    this.#world.round(present, 'unanswered');
    this.#calm.isStoring = true;
    this.#calm.act(OUTAGE_MS);
    this.#calm.isStoring = false;
    this.#world.round(present, 'answered');
    this.#world.renew(present, this.#worker, 'answered');
    this.#replaceLeader();
    this.#cutOff();
  }

  /**
   * A node is frozen for long, and what it has not read expires. It knows nothing of how the role
   * has passed on meanwhile when it takes the role from a leader that has told nothing yet.
   */
  #expireLog(): void {
    const world = this.#world;
    world.freezeNode(world.present.epoch + 2);
    this.#calm.act(4 * OUTAGE_MS);
    this.#leaveNothingElse();
    world.elect();
    this.#cutOff();
    Object.assign(world.present, { isOver: true });
    this.#calm.act(4 * CALM_STEP_MS);
    this.#calm.leaderGoes();
    world.elect();
    this.#cutOff();
  }

  /** The worker gets one more renewal, whose answer is lost, and is cut off. */
  #loseAnswers(): void {
    this.#calm.unheard = this.#id;
    this.#calm.act(SILENT_WORKER_MS);
    this.#worker.isCut = true;
  }

  #loseAppend(): void {
    this.#world.round(this.#world.present, 'lost');
    this.#calm.isStoring = true;
    this.#calm.act(OUTAGE_MS);
    this.#calm.isStoring = false;
  }

  /** The present leader does not reach the worker. */
  #cutOff(): void {
    this.#world.present.unreachable.add(this.#id);
  }

  /** The leader's process is gone; another node takes over when that has shown. */
  #replaceLeader(): void {
    this.#calm.loseLeader(TAKEOVER_MS);
    this.#world.elect();
  }
}
