import type { AppendOutcome, JobsWorld } from './jobs-world.js';
import type { ModelLeader } from './model-leader.js';

/** How long before it is removed a worker announces that it leaves, in milliseconds. */
const LEAVING_MS = 2_000;

/** How much longer than announced some workers stay, in milliseconds. */
const OVERSTAY_MS = 4_000;

/** The jobs, and tasks of each of their steps, that fill all workers twice. */
const FILLING_JOBS = 6;

const TASKS_PER_FILLING_JOB = 4;

/** More than the interval at which ahead bindings are chosen, in milliseconds. */
const AHEAD_INTERVAL_MS = 1_050;

const APPEND_OUTCOMES: readonly AppendOutcome[] = ['answered', 'unanswered', 'lost'];

/** Carries out a drawn command; two small numbers select the leader, worker or other target. */
export class JobsScript {
  readonly #world: JobsWorld;

  constructor(world: JobsWorld) {
    this.#world = world;
  }

  run(kind: string, a: number, b: number): void {
    const world = this.#world;
    world.passTime(20);
    const leader = world.leaders[a % world.leaders.length]!;
    const worker = world.workers[b % world.workers.length]!;
    switch (kind) {
      case 'submit':
        world.submit(1 + (a % 4));
        break;
      case 'submit-lasting':
        world.submitLongRunning(1 + (a % 2));
        break;
      case 'submit-crashing':
        world.submitCrashing(a % 2 === 0);
        break;
      case 'cancel':
        this.#cancel(a);
        break;
      case 'round':
        world.round(leader, 'answered');
        break;
      case 'round-unanswered':
        world.round(leader, a % 2 === 0 ? 'unanswered' : 'lost');
        break;
      case 'renew':
        world.renew(leader, worker, a >= 6 ? 'unanswered' : 'answered');
        break;
      case 'fill':
        this.#fill(leader);
        break;
      case 'bind-ahead':
        this.#bindAhead(leader, APPEND_OUTCOMES[a % APPEND_OUTCOMES.length]!);
        break;
      case 'free':
        while (worker.running.length > 0) world.end(worker, 0, 'done');
        world.renew(leader, worker, 'answered');
        break;
      case 'start-ahead':
        world.startAhead(leader);
        break;
      case 'renew-late':
        world.renew(leader, worker, 'late');
        break;
      case 'deliver-late':
        world.deliverDelayed(a);
        break;
      case 'deliver':
        world.deliver(leader, b, false);
        break;
      case 'deliver-unanswered':
        world.deliver(leader, b, true);
        break;
      case 'end':
        world.end(worker, a, 'done');
        break;
      case 'fail':
        world.end(worker, a, 'failed');
        break;
      case 'crash':
        world.crash(worker);
        break;
      case 'work-through':
        this.#workThrough(leader, 1 + (a % 4));
        break;
      case 'restart-worker':
        world.restartWorker(worker);
        break;
      case 'leave':
        world.leave(worker, LEAVING_MS, a % 2 === 0, a % 4 === 3 ? OVERSTAY_MS : 0);
        break;
      case 'list':
        world.list(leader);
        break;
      case 'evacuate':
        world.toggleEvacuation(a, b % 2 === 0);
        break;
      case 'read-operators':
        world.readOperators(leader);
        break;
      case 'vanish':
        world.vanish(worker);
        break;
      case 'cut':
        worker.isCut = !worker.isCut;
        world.coverage.hit('cut');
        break;
      case 'cut-off':
        this.#cutOff(worker.entry.id);
        break;
      case 'store':
        world.isStoreUp = !world.isStoreUp;
        world.coverage.hit('store-away');
        break;
      case 'elect':
        if (world.isStoreUp) world.elect();
        break;
      case 'freeze':
        world.freezeNode(b);
        break;
      case 'restart':
        if (world.isStoreUp) world.restartLeader();
        break;
      case 'resign':
        world.resign();
        break;
      default:
        world.passTime(a * 400);
    }
  }

  /** Submits more tasks than fit on the workers, and starts those that do. */
  #fill(leader: ModelLeader): void {
    const world = this.#world;
    for (let i = 0; i < FILLING_JOBS; i += 1) world.submit(TASKS_PER_FILLING_JOB);
    for (const worker of world.workers) world.renew(leader, worker, 'answered');
    world.round(leader, 'answered');
    while (leader.inFlight.length > 0) world.deliver(leader, 0, false);
  }

  /** Runs a job of one step after another until its ends are stored and acknowledged. */
  #workThrough(leader: ModelLeader, width: number): void {
    const world = this.#world;
    const renewAll = (): void => {
      for (const worker of world.workers) world.renew(leader, worker, 'answered');
    };
    world.submit(width);
    renewAll();
    world.round(leader, 'answered');
    while (leader.inFlight.length > 0) world.deliver(leader, 0, false);
    renewAll();
    for (const worker of world.workers)
      for (let i = worker.running.length; i > 0; i -= 1) world.end(worker, 0, 'done');
    renewAll();
    world.round(leader, 'answered');
    renewAll();
  }

  /** Runs a round in which ahead bindings are due, with this outcome of its append. */
  #bindAhead(leader: ModelLeader, outcome: AppendOutcome): void {
    const world = this.#world;
    world.passTime(AHEAD_INTERVAL_MS);
    for (const worker of world.workers) world.renew(leader, worker, 'answered');
    world.round(leader, outcome);
  }

  #cancel(index: number): void {
    const id = this.#world.jobIds[index];
    if (id === undefined) return;
    this.#world.coverage.hit('cancel');
    this.#world.cancel(id);
  }

  /** Toggles whether the current leader reaches the worker; the previous leader still may. */
  #cutOff(worker: string): void {
    this.#world.coverage.hit('cut-off');
    const { unreachable } = this.#world.currentLeader;
    if (!unreachable.delete(worker)) unreachable.add(worker);
  }
}
