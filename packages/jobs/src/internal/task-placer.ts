import { capacityClassOf } from '../admission.js';
import type { RetryAfter } from '../admission.js';
import type { Backlog } from '../backlog.js';
import type { JobProgress, TaskProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import { taskName } from '../task-ref.js';
import type { ClusterState } from './cluster-state.js';
import type { HaltedRun } from './halted-runs.js';
import { haltedRuns } from './halted-runs.js';
import { CapacityHold } from './capacity-hold.js';
import { IdleJobs, OVERDUE, OWED } from './idle-jobs.js';
import type { PlacementPolicy } from './placement.js';
import { StepRotation } from './step-rotation.js';
import type { Candidates } from './round-candidates.js';
import { RoundCandidates } from './round-candidates.js';
import type { RoundLimits } from './round-limits.js';
import { RoundBudget } from './round-limits.js';
import { newRun } from './runs.js';
import { StepWaits } from './step-waits.js';
import type { WaitingStep } from './waiting-steps.js';
import { IN_TIME, byUrgency, waitingStepsOf } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/**
 * - `placed`: every task that can be started now has a place.
 * - `placeless`: a task found no place.
 * - `cut-short`: the limits of the round ended it.
 */
type StepOutcome = 'placed' | 'placeless' | 'cut-short';

/** While less of the processors is reserved, tasks that work slowly do not stand in the way of others. */
const SLOW_PLACES_BELOW = 0.5;

/** A job whose tasks are all halted for so long is to go on elsewhere, in milliseconds. */
const HALTED_MS = 1_000;

/** Gives waiting tasks to workers. */
export class TaskPlacer {
  readonly #state: ClusterState;

  readonly #placement: PlacementPolicy;

  readonly #turns = new StepRotation();

  readonly #waits = new StepWaits();

  readonly #idle = new IdleJobs();

  readonly #held = new CapacityHold();

  /** Overdue steps of this round without a place, since the last start. */
  readonly #overduePlaceless: WaitingStep[] = [];

  /** By job: its runs that may not work where they are, as of this round. */
  #halted: ReadonlyMap<string, HaltedRun[]> = new Map();

  /** How many jobs are idle, by the lane of their first step, as of this round. */
  readonly #idleByLane = new Map<string, number>();

  /** In the last round a job that could still end in time found no place. */
  #isShort = false;

  constructor(state: ClusterState, placement: PlacementPolicy) {
    this.#state = state;
    this.#placement = placement;
  }

  /**
   * Binds what can be started now to workers, the most urgent first. Returns whether the limits
   * ended it while there may be room for more.
   */
  placeAll(nowMs: number, limits: RoundLimits): boolean {
    const isCutShort = this.#place(nowMs, limits);
    this.#overduePlaceless.length = 0;
    this.#holdRoom(nowMs);
    return isCutShort;
  }

  /**
   * A job that an earlier node has left: with nothing at work it is idle since then. Between two
   * occurrences it has nothing to start either.
   */
  assumeIdle(job: JobProgress, sinceMs: number): void {
    const hasWork = !job.spec.schedule && !isFinal(job.state);
    if (sinceMs < Infinity && hasWork && !job.hasBound()) this.#idle.assume(job, sinceMs);
  }

  /** As of the newest round. */
  backlog(nowMs: number): Backlog {
    let idleJobs = 0;
    let longestIdleMs = 0;
    for (const job of this.#state.jobs.values()) {
      const idleMs = isFinal(job.state) ? undefined : this.#idle.idleMs(job, nowMs);
      if (idleMs !== undefined) idleJobs += 1;
      longestIdleMs = Math.max(longestIdleMs, idleMs ?? 0);
    }
    return { idleJobs, longestIdleMs, ...this.#state.usage() };
  }

  /** By lane with too many idle jobs: when callers may come back; as of the newest round. */
  retryAfter(nowMs: number): RetryAfter {
    return this.#state.turnWaits.tooLong(this.#idleByLane, this.#idle.allowance, nowMs);
  }

  #place(nowMs: number, limits: RoundLimits): boolean {
    this.#halted = haltedRuns(this.#state.workers.values());
    const waiting = this.#turns.inOrder([...this.#waitingSteps(nowMs)].sort(byUrgency));
    // From here on: with thousands of waiting steps the sorting takes its time as well.
    const budget = new RoundBudget(limits);
    this.#placeHeld(budget, nowMs);
    const places = new RoundCandidates(this.#openWorkers(), this.#placement, nowMs);
    const placeless: WaitingStep[] = [];
    const hasMuchRoom = !this.#isShort && this.#state.reservedShare() < SLOW_PLACES_BELOW;
    this.#isShort = false;
    for (const { tasks } of waiting) this.#waits.waiting(tasks, nowMs);
    for (const [count, step] of waiting.entries()) {
      // One step at least is tried, however late it is.
      const mayGoOn = budget.hasStarts && (count === 0 || budget.hasTime);
      if (!mayGoOn) {
        for (const { tasks } of waiting.slice(count)) this.#waits.leftOut(tasks);
        return this.#cutShort(budget, count, placeless);
      }
      const isSlow = this.#mayWorkSlowly(step, hasMuchRoom, nowMs);
      const ofKind = places.of(step.spec, step.queue.pool, isSlow);
      const outcome = this.#placeStep(step, ofKind, budget, nowMs);
      if (outcome === 'placed' && step.most === Infinity) this.#waits.placed(step.tasks);
      if (outcome === 'placeless') {
        placeless.push(step);
        this.#isShort ||= step.rank === IN_TIME;
        if (step.rank === OVERDUE) this.#overduePlaceless.push(step);
        this.#waits.placeless(step.tasks, () => ofKind.obstacle, nowMs);
        this.#noteIdle(step.job, step.spec, ofKind, nowMs);
      }
      if (outcome === 'cut-short') {
        this.#cutShort(budget, count, placeless);
        return true;
      }
    }
    this.#turns.beginAnew();
    this.#stopHalted(places, nowMs);
    return false;
  }

  /**
   * Stops one run of each job whose runs are all halted, where another worker has a place for it:
   * halted beside a serving task that stays near its target, it would hold its job up for good.
   */
  #stopHalted(places: RoundCandidates, nowMs: number): void {
    for (const [jobId, halted] of this.#halted) {
      const job = this.#state.jobs.get(jobId);
      const queue = job && this.#state.queues.get(job.spec.queue);
      if (queue && this.#idle.idleMs(job, nowMs) !== undefined) {
        const moved = halted.find((found) => canMove(found, places, queue.pool, nowMs));
        if (moved) this.#state.stopRun(moved.worker, moved.run, 'halted', nowMs);
        const { spec } = halted[0]!.run;
        this.#noteIdle(job, spec, places.of(spec, queue.pool, true), nowMs);
      }
    }
  }

  /** Tells of a job that is idle for long what keeps it from how many workers. */
  #noteIdle(job: JobProgress, spec: StepSpec, places: Candidates, nowMs: number): void {
    if (!this.#idle.isNewlyIdle(job, nowMs)) return;
    this.#state.note('job-idle', {
      job: job.spec.id,
      idleMs: Math.round(this.#idle.idleMs(job, nowMs) ?? 0),
      halted: this.#halted.get(job.spec.id)?.length ?? 0,
      cpuMilli: spec.cpuMilli,
      fills: spec.fills,
      isShort: this.#isShort,
      ...this.#state.usage(),
      ...places.counts(),
    });
  }

  /**
   * Without those that run what is not told yet: how much room it takes there is not known. Nor the
   * one on which room is held.
   */
  *#openWorkers(): Generator<WorkerState> {
    for (const worker of this.#state.workers.values()) {
      const runs = this.#state.isWhole ? [] : [...worker.runs.values()];
      const isTold = !runs.some(({ ref }) => this.#state.isUntold(ref.jobId));
      if (isTold && worker !== this.#held.worker) yield worker;
    }
  }

  /** A task was started; overdue jobs that found no place before it were passed over. */
  #started(step: WaitingStep, nowMs: number): void {
    this.#idle.started(step.job, step.rank === OVERDUE);
    for (const other of this.#overduePlaceless.splice(0)) {
      this.#idle.passedOver(other.job, nowMs);
      // Best-effort tasks reserve no processors, and a gang needs room on several workers.
      if (!other.spec.gang && !other.spec.fills) this.#held.add(other);
    }
  }

  #holdRoom(nowMs: number): void {
    const lackRoom = ({ spec, queue }: WaitingStep): WorkerState[] =>
      [...this.#state.workers.values()].filter(
        (worker) =>
          worker.entry.pool === queue.pool && this.#placement.look(spec, worker, nowMs) === 'room',
      );
    if (!this.#held.begin(lackRoom, nowMs)) return;
    const { job, spec } = this.#held.step!;
    const { cpuMilli, memMb, gpus } = spec;
    const worker = this.#held.worker!.entry.id;
    this.#state.note('room-held', { job: job.spec.id, worker, cpuMilli, memMb, gpus });
  }

  /** Starts the task for which room is held, if there is enough by now. */
  #placeHeld(budget: RoundBudget, nowMs: number): void {
    this.#held.review(nowMs);
    const { step, worker } = this.#held;
    if (!step || !worker) return;
    // Since the room is held the worker may have gone, or the queue may go to another pool.
    const isKnown = this.#state.workers.get(worker.entry.id) === worker;
    if (!isKnown || this.#state.queues.get(step.queue.name)?.pool !== worker.entry.pool) {
      this.#held.end();
      return;
    }
    if (!budget.hasStarts || !this.#state.isWhole) return;
    const places = new RoundCandidates([worker], this.#placement, nowMs);
    const ofKind = places.of(step.spec, step.queue.pool, step.spec.fills);
    if (this.#placeTasks(step, ofKind, budget, nowMs) === 'placed') this.#held.end();
  }

  /** Returns whether any step is left that was not tried. */
  #cutShort(budget: RoundBudget, count: number, placeless: readonly WaitingStep[]): boolean {
    if (budget.hasStarts) return this.#turns.cutShort(count, placeless);
    this.#turns.beginAnew();
    return true;
  }

  *#waitingSteps(nowMs: number): Generator<WaitingStep> {
    this.#idle.beginRound(this.#state.reservedShare());
    this.#idleByLane.clear();
    const overdue = new Map<JobProgress, WaitingStep[]>();
    for (const job of this.#state.jobs.values()) {
      if (!isFinal(job.state)) {
        const steps = [...this.#stepsOf(job)];
        yield* steps;
        const haltedCount = this.#halted.get(job.spec.id)?.length ?? 0;
        if (steps.length > 0 || haltedCount > 0) {
          this.#idle.look(job, haltedCount, nowMs);
          if (this.#idle.isOverdue(job, nowMs)) overdue.set(job, steps);
          if (this.#idle.idleMs(job, nowMs) !== undefined) yield* this.#idleSteps(steps);
        }
      }
    }
    for (const job of this.#idle.turnsOf([...overdue.keys()])) {
      for (const step of overdue.get(job)!) {
        const orderMs = this.#idle.turnMs(job);
        if (step.rank > OVERDUE) yield { ...step, rank: OVERDUE, orderMs, most: 1 };
      }
    }
  }

  *#stepsOf(job: JobProgress): Generator<WaitingStep> {
    const queue = this.#state.queues.get(job.spec.queue);
    for (const occurrence of job.occurrences.values()) {
      yield* waitingStepsOf(job, queue, occurrence, this.#state.timeOfDayMs);
    }
  }

  /** The first step of an idle job stands twice: for the task that is owed, and the rest. */
  *#idleSteps([first]: readonly WaitingStep[]): Generator<WaitingStep> {
    if (!first) return;
    const { job, queue, spec, rank } = first;
    const lane = capacityClassOf(queue.pool, spec.fills);
    this.#idleByLane.set(lane, (this.#idleByLane.get(lane) ?? 0) + 1);
    if (!spec.fills || rank <= OWED) return;
    yield { ...first, rank: OWED, orderMs: this.#idle.turnMs(job), most: 1 };
  }

  /**
   * Whether a task may go where it works slowly: of a job that found no other place since it is
   * overdue, and with much room of any idle one. The tasks beside it are slowed down as well.
   */
  #mayWorkSlowly({ job, spec, rank }: WaitingStep, hasMuchRoom: boolean, nowMs: number): boolean {
    if (!spec.fills) return false;
    if (hasMuchRoom && (rank === OVERDUE || rank === OWED)) return true;
    return rank === OVERDUE && this.#idle.isLongOverdue(job, nowMs);
  }

  #placeStep(
    step: WaitingStep,
    places: Candidates,
    budget: RoundBudget,
    nowMs: number,
  ): StepOutcome {
    // Its tasks stand once more in the usual order.
    if (step.rank === OVERDUE && !this.#idle.mayStart(step.job)) return 'placed';
    return step.spec.gang
      ? this.#placeGang(step, places, budget, nowMs)
      : this.#placeTasks(step, places, budget, nowMs);
  }

  #placeTasks(
    step: WaitingStep,
    places: Candidates,
    budget: RoundBudget,
    nowMs: number,
  ): StepOutcome {
    let started = 0;
    for (let index = 0; index < step.tasks.length; index += 1) {
      const task = step.tasks[index]!;
      if (task.phase === 'waiting') {
        if (started > 0 && !(budget.hasStarts && budget.hasTime)) return 'cut-short';
        const ref = { ...step.ref, index };
        const worker = places.choose({ ref, spec: step.spec, avoid: task.worker });
        // The tasks of a step are alike: where one finds no place, the next finds none either.
        if (!worker) return 'placeless';
        this.#bind(step, ref, task, worker, task.run + 1, nowMs);
        budget.started(1);
        this.#started(step, nowMs);
        started += 1;
        if (started === step.most) return 'placed';
      }
    }
    return 'placed';
  }

  /** All members or none: a part of a gang would hold its room and wait in vain. */
  #placeGang(
    step: WaitingStep,
    places: Candidates,
    budget: RoundBudget,
    nowMs: number,
  ): StepOutcome {
    if (step.tasks.some(({ phase }) => phase !== 'waiting')) return 'placed';
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1;
    const placed: [TaskRef, WorkerState][] = [];
    for (let index = 0; index < step.tasks.length; index += 1) {
      const ref = { ...step.ref, index };
      const avoid = step.tasks[index]!.worker;
      const worker = places.choose({ ref, spec: step.spec, avoid });
      if (!worker) break;
      worker.add(taskName(ref), newRun(ref, { run, checkpoint: '' }, step.spec, nowMs));
      placed.push([ref, worker]);
    }
    for (const [ref, worker] of placed) worker.remove(taskName(ref));
    if (placed.length > 0) places.roomReturned();
    if (placed.length < step.tasks.length) return 'placeless';
    const { checkpoint } = step.tasks[0]!;
    for (const [ref, worker] of placed) {
      const task = step.tasks[ref.index]!;
      task.checkpoint = checkpoint;
      this.#bind(step, ref, task, worker, run, nowMs);
    }
    budget.started(placed.length);
    this.#started(step, nowMs);
    return 'placed';
  }

  #bind(
    { job, spec, tasks, rank }: WaitingStep,
    ref: TaskRef,
    task: TaskProgress,
    worker: WorkerState,
    run: number,
    nowMs: number,
  ): void {
    Object.assign(task, { phase: 'bound', run, worker: worker.entry.id });
    worker.add(taskName(ref), newRun(ref, task, spec, nowMs));
    job.begin();
    this.#state.changed.add(job);
    this.#state.orders.push({
      kind: 'start',
      worker: worker.entry.id,
      task: ref,
      run,
      payload: job.spec.payload,
      checkpoint: task.checkpoint,
    });
    this.#state.note('bound', {
      task: taskName(ref),
      run,
      worker: worker.entry.id,
      fills: spec.fills,
      rank,
      ...this.#waits.of(tasks, nowMs),
    });
  }
}

/** Whether a run that is halted for some time could go on elsewhere. */
function canMove(
  { worker, run }: HaltedRun,
  places: RoundCandidates,
  pool: string,
  nowMs: number,
): boolean {
  if (run.spec.gang || run.stopSentMs > 0 || nowMs - run.movedMs < HALTED_MS) return false;
  const place = places.of(run.spec, pool, true).choose({ ...run, avoid: worker.entry.id });
  return place !== undefined && place !== worker;
}
