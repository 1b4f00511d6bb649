import { capacityClassOf } from '../admission.js';
import type { Backlog } from '../backlog.js';
import type { JobProgress, TaskProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import { stepName, taskName } from '../task-ref.js';
import { AdvisedSteps } from './advised-steps.js';
import { AdmissionControl } from './admission-control.js';
import type { AheadTask } from './ahead-bindings.js';
import { AheadBindings } from './ahead-bindings.js';
import type { ClusterState } from './cluster-state.js';
import type { HaltedRun } from './halted-runs.js';
import { canMove, haltedRuns } from './halted-runs.js';
import { CapacityHold } from './capacity-hold.js';
import { CountByPriority } from './count-by-priority.js';
import { IdleJobs, STARVED_RANK, CATCH_UP_RANK } from './idle-jobs.js';
import type { PlacementPolicy } from './placement.js';
import { placeByRack } from './rack-placement.js';
import type { StepOutcome } from './step-outcome.js';
import { StepRotation } from './step-rotation.js';
import type { Candidates } from './round-candidates.js';
import { RoundCandidates } from './round-candidates.js';
import type { RoundLimits } from './round-limits.js';
import { RoundBudget } from './round-limits.js';
import { newRun } from './runs.js';
import type { WaitCause } from './obstacle.js';
import { isCapacityLack } from './obstacle.js';
import { StepWaits } from './step-waits.js';
import { TaskCopies } from './task-copies.js';
import { UrgentCapacity } from './urgent-capacity.js';
import type { WaitingStep } from './waiting-steps.js';
import { IN_TIME_RANK, byUrgency, waitingStepsOf } from './waiting-steps.js';
import { WaitingTasks } from './waiting-tasks.js';
import type { WorkerState } from './worker-state.js';

/** Below this reserved share of the processors, tasks that run slowly do not delay others. */
const SLOW_PLACEMENT_BELOW = 0.5;

/** Assigns waiting tasks to workers. */
export class TaskPlacer {
  readonly #state: ClusterState;

  readonly #placement: PlacementPolicy;

  readonly #rotation = new StepRotation();

  readonly #waits = new StepWaits();

  readonly #idle = new IdleJobs();

  readonly #hold = new CapacityHold();

  readonly #urgent: UrgentCapacity;

  readonly #copies: TaskCopies;

  /** Steps of starved jobs that did not fit on any worker in this round, since the last start. */
  readonly #starvedUnplaced: WaitingStep[] = [];

  /** For each job: its runs that must not work on their workers, as of this round. */
  #halted: ReadonlyMap<string, HaltedRun[]> = new Map();

  /** The number of idle jobs by the capacity class of their first step, as of this round. */
  readonly #idleByClass = new Map<string, CountByPriority>();

  /** Determines which jobs can be accepted, as of the latest round. */
  readonly admission: AdmissionControl;

  readonly ahead: AheadBindings;

  /** The steps that need advice, as of the latest round. */
  readonly advised: AdvisedSteps;

  /** The steps that the latest round had to place. */
  #waiting: readonly WaitingStep[] = [];

  #roundCount = 0;

  /** The number of tasks that were bound since the end of the round before. */
  #startCount = 0;

  /** Whether a job that could still end in time did not fit on any worker in the last round. */
  #isCapacityShort = false;

  constructor(state: ClusterState, placement: PlacementPolicy) {
    this.#state = state;
    this.#placement = placement;
    this.#urgent = new UrgentCapacity(state);
    this.#copies = new TaskCopies(state);
    this.advised = new AdvisedSteps(state, placement);
    this.admission = new AdmissionControl(state, this.#idle, this.#idleByClass);
    this.ahead = new AheadBindings(state);
  }

  /**
   * Binds tasks that can be started now to workers, the most urgent first. Returns whether the
   * limits ended placement while there may be capacity for more tasks.
   */
  placeAll(nowMs: number, limits: RoundLimits): boolean {
    const isCutShort = this.#placeWaiting(nowMs, limits);
    if (isCutShort)
      this.admission.cutShort(
        this.#startCount,
        this.#waitingTasks(nowMs),
        nowMs,
        limits.isNodeBusy,
      );
    else this.admission.completed(this.#startCount, nowMs);
    const startsLeft = limits.starts - this.#startCount;
    this.#startCount = 0;
    this.advised.update(this.#waiting, nowMs);
    this.#starvedUnplaced.length = 0;
    this.#holdCapacity(nowMs);
    this.#updateAhead(nowMs, limits);
    const candidatesNow = (): RoundCandidates => this.#roundCandidates(nowMs);
    if (!isCutShort) this.#copies.start(this.#waiting, startsLeft, candidatesNow, nowMs);
    return isCutShort;
  }

  /** Starts tasks that are bound ahead on workers that have the capacity by now. */
  startAhead(nowMs: number, limits: RoundLimits): void {
    if (!this.#state.isFullyLoaded) return;
    const start = ({ step, ref, task, worker, binding }: AheadTask): void => {
      this.#bind(step, ref, task, worker, binding.run, nowMs);
      this.#started(step, nowMs);
    };
    this.ahead.startAll(limits, this.#placement, this.#hold.worker, start, nowMs);
  }

  /**
   * Records an added job, and restores its idle time if it is from an earlier leader: if none of its
   * tasks is bound, it has been idle since `sinceMs`. Jobs with occurrences are left out, as they
   * have nothing to start between two occurrences.
   */
  jobAdded(job: JobProgress, sinceMs: number): void {
    this.#urgent.jobAdded(job);
    const hasWork = !job.spec.schedule && !isFinal(job.state);
    if (sinceMs < Infinity && hasWork && !job.hasBoundTasks()) this.#idle.markIdle(job, sinceMs);
  }

  /** Records that a task of the job has begun on its worker. */
  jobBegan(job: JobProgress): void {
    this.#idle.began(job);
  }

  /** Returns the idle jobs and the use of the workers, as of the latest round. */
  backlog(nowMs: number): Backlog {
    let idleJobs = 0;
    let longestIdleMs = 0;
    for (const job of this.#state.jobs.values()) {
      const idleMs = isFinal(job.state) ? undefined : this.#idle.idleMs(job, nowMs);
      if (idleMs !== undefined) idleJobs += 1;
      longestIdleMs = Math.max(longestIdleMs, idleMs ?? 0);
    }
    const rackWaitingTasks = this.#state.racks.waitingCount;
    const adviceWaitingSteps = this.advised.waitingCount(nowMs);
    const { reserved, bestEffort } = this.#waitingTasks(nowMs);
    return {
      idleJobs,
      longestIdleMs,
      rackWaitingTasks,
      adviceWaitingSteps,
      unplacedTasks: reserved.unplaced,
      untriedTasks: reserved.untried,
      unplacedBestEffort: bestEffort.unplaced,
      untriedBestEffort: bestEffort.untried,
      ...this.#state.usage(),
    };
  }

  /**
   * All nodes count the unstarted tasks of the stored jobs while the leader limits the starts, so no
   * record may show a task as bound that was not started.
   */
  #updateAhead(nowMs: number, { ahead }: RoundLimits): void {
    const isLeaderLimiting = this.admission.startsPerSecond() !== undefined;
    const mode = ahead && isLeaderLimiting ? 'release' : ahead;
    const causeOf = ({ tasks }: WaitingStep): WaitCause => this.#waits.of(tasks, nowMs).keptBy;
    this.ahead.update(mode, this.#waiting, causeOf, nowMs);
  }

  /** Returns the tasks of the steps of the latest round that still wait for a worker. */
  #waitingTasks(nowMs: number): WaitingTasks {
    return new WaitingTasks(this.#waiting, this.#waits, nowMs);
  }

  #placeWaiting(nowMs: number, limits: RoundLimits): boolean {
    this.#halted = haltedRuns(this.#state.workers.values());
    const waiting = this.#rotation.inOrder([...this.#waitingSteps(nowMs)].sort(byUrgency));
    this.#waiting = waiting;
    // The time limit applies from here on, because with thousands of waiting steps sorting takes a
    // while.
    const budget = new RoundBudget(limits);
    const { racks } = this.#state;
    racks.startRound(waiting, nowMs);
    this.#placeHeld(budget, nowMs);
    this.#roundCount += 1;
    const roundCandidates = this.#roundCandidates(nowMs);
    const unplaced: WaitingStep[] = [];
    const hasAmpleCapacity =
      !this.#isCapacityShort && this.#state.reservedShare() < SLOW_PLACEMENT_BELOW;
    this.#isCapacityShort = false;
    this.#urgent.startRound(roundCandidates, nowMs);
    for (const step of waiting)
      if (this.#waits.waiting(step.tasks, nowMs)) this.#urgent.becameReady(step, nowMs);
    for (const [count, step] of waiting.entries()) {
      // At least one step is tried, however late it is.
      const mayContinue = budget.hasStarts && (count === 0 || budget.hasTime);
      if (!mayContinue) {
        for (const { tasks } of waiting.slice(count)) this.#waits.skipped(tasks);
        return this.#cutShort(budget, count, unplaced);
      }
      const mayRunSlowly = this.#mayRunSlowly(step, hasAmpleCapacity, nowMs);
      const waitMs = step.spec.lasting ? this.#waits.of(step.tasks, nowMs).waitMs : 0;
      const mustYield = this.#urgent.mustYield(step, waitMs, nowMs);
      const rule = mustYield ? undefined : this.#urgent.ruleFor(step, waitMs, nowMs);
      const candidatesIn = (rack?: string): Candidates => {
        const candidates = this.advised.candidatesOf(step, roundCandidates, mayRunSlowly, rack);
        candidates.rule = rule;
        return candidates;
      };
      const outcome = mustYield
        ? 'yielded'
        : placeByRack(step, {
            racks,
            waitMs: () => this.#waits.of(step.tasks, nowMs).waitMs,
            candidatesIn,
            place: (part, candidates) => this.#placeStep(part, candidates, budget, nowMs),
            hasStarts: () => budget.hasStarts,
            nowMs,
          });
      if (outcome === 'yielded') this.#waits.yielded(step.tasks, nowMs);
      if (outcome === 'record-full') this.#waits.recordFull(step.tasks, nowMs);
      if (outcome === 'placed' && step.maxTasks === Infinity) this.#waits.placed(step.tasks);
      if (outcome === 'awaits-rack') {
        unplaced.push(step);
        this.#waits.awaitsRack(step.tasks, nowMs);
        this.#logIdle(step.job, step.spec, candidatesIn(step.spec.dataRack), nowMs);
      }
      if (outcome === 'placeless') {
        const candidates = candidatesIn();
        unplaced.push(step);
        this.#isCapacityShort ||= step.rank === IN_TIME_RANK && !candidates.lacksTicket;
        this.#urgent.unplaced(step, candidates, nowMs);
        if (step.rank === STARVED_RANK) this.#starvedUnplaced.push(step);
        this.#waits.unplaced(step.tasks, () => candidates.obstacle, nowMs);
        this.#logIdle(step.job, step.spec, candidates, nowMs);
      }
      if (outcome === 'cut-short') {
        this.#waits.cutShort(step.tasks);
        this.#cutShort(budget, count, unplaced);
        return true;
      }
    }
    this.#rotation.restart();
    this.#stopHalted(roundCandidates, nowMs);
    return false;
  }

  /**
   * Stops one run of each job whose runs are all halted, if another worker has capacity for it.
   * Beside a serving task that stays near its target, a halted run would block its job
   * indefinitely.
   */
  #stopHalted(roundCandidates: RoundCandidates, nowMs: number): void {
    for (const [jobId, halted] of this.#halted) {
      const job = this.#state.jobs.get(jobId);
      const queue = job && this.#state.queues.get(job.spec.queue);
      if (queue && this.#idle.idleMs(job, nowMs) !== undefined) {
        const toStop = halted.find((found) => canMove(found, roundCandidates, queue.pool, nowMs));
        if (toStop) this.#state.stopRun(toStop.worker, toStop.run, 'halted', nowMs);
        const { spec } = halted[0]!.run;
        this.#logIdle(job, spec, roundCandidates.of(spec, queue.pool, true), nowMs);
      }
    }
  }

  /** Logs a job that has been idle for long, with the number of workers by obstacle. */
  #logIdle(job: JobProgress, spec: StepSpec, candidates: Candidates, nowMs: number): void {
    if (!this.#idle.shouldLogIdle(job, nowMs)) return;
    this.#state.logEvent('job-idle', {
      job: job.spec.id,
      idleMs: Math.round(this.#idle.idleMs(job, nowMs) ?? 0),
      halted: this.#halted.get(job.spec.id)?.length ?? 0,
      cpuMilli: spec.cpuMilli,
      fills: spec.fills,
      isShort: this.#isCapacityShort,
      ...this.#state.usage(),
      ...candidates.counts(),
    });
  }

  #roundCandidates(nowMs: number): RoundCandidates {
    return new RoundCandidates(
      this.#availableWorkers(),
      this.#placement,
      nowMs,
      this.#roundCount,
      (spec, worker) => this.#state.racks.penaltyOf(spec, worker, nowMs),
    );
  }

  /**
   * Yields the workers that may take tasks. It leaves out workers with runs of jobs that are not
   * yet loaded, because the capacity that these use is unknown, and the worker on which capacity is
   * held.
   */
  *#availableWorkers(): Generator<WorkerState> {
    for (const worker of this.#state.workers.values()) {
      const runs = this.#state.isFullyLoaded ? [] : [...worker.runs.values()];
      const isLoadKnown = !runs.some(({ ref }) => this.#state.isUnloaded(ref.jobId));
      if (isLoadKnown && worker !== this.#hold.worker) yield worker;
    }
  }

  /** Records the start of a task. Starved jobs that fit on no worker before it were passed over. */
  #started(step: WaitingStep, nowMs: number): void {
    this.#idle.started(step.job, step.rank === STARVED_RANK);
    for (const other of this.#starvedUnplaced.splice(0)) {
      this.#idle.passedOver(other.job, nowMs);
      // No capacity is held for best-effort tasks, which reserve no processors, for gangs, which need
      // several workers, or for steps that only some workers may run.
      if (!other.spec.gang && !other.spec.fills && !other.queue.advice) this.#hold.add(other);
    }
  }

  #holdCapacity(nowMs: number): void {
    const workersLackingCapacity = ({ spec, queue }: WaitingStep): WorkerState[] =>
      [...this.#state.workers.values()].filter(
        (worker) =>
          worker.entry.pool === queue.pool &&
          isCapacityLack(this.#placement.evaluate(spec, worker, nowMs)),
      );
    if (!this.#hold.start(workersLackingCapacity, nowMs)) return;
    const { job, spec } = this.#hold.step!;
    const { cpuMilli, memMb, gpus } = spec;
    const worker = this.#hold.worker!.entry.id;
    this.#state.logEvent('room-held', { job: job.spec.id, worker, cpuMilli, memMb, gpus });
  }

  /** Starts the task for which capacity is held, if there is enough by now. */
  #placeHeld(budget: RoundBudget, nowMs: number): void {
    this.#hold.releaseStale(nowMs);
    const { step, worker } = this.#hold;
    if (!step || !worker) return;
    // The worker may have been removed since the hold began, or the queue may use another pool.
    const isKnown = this.#state.workers.get(worker.entry.id) === worker;
    if (!isKnown || this.#state.queues.get(step.queue.name)?.pool !== worker.entry.pool) {
      this.#hold.end();
      return;
    }
    if (!budget.hasStarts || !this.#state.isFullyLoaded) return;
    const roundCandidates = new RoundCandidates([worker], this.#placement, nowMs);
    const candidates = roundCandidates.of(step.spec, step.queue.pool, step.spec.fills);
    if (this.#placeTasks(step, candidates, budget, nowMs) === 'placed') this.#hold.end();
  }

  /** Returns whether any step has not been tried yet. */
  #cutShort(budget: RoundBudget, count: number, unplaced: readonly WaitingStep[]): boolean {
    if (budget.hasStarts) return this.#rotation.cutShort(count, unplaced);
    this.#rotation.restart();
    return true;
  }

  *#waitingSteps(nowMs: number): Generator<WaitingStep> {
    this.#idle.startRound(this.#state.reservedShare());
    this.#idleByClass.clear();
    const starved = new Map<JobProgress, WaitingStep[]>();
    for (const job of this.#state.jobs.values()) {
      if (!isFinal(job.state)) {
        const steps = [...this.#stepsOf(job)];
        yield* steps;
        const haltedCount = this.#halted.get(job.spec.id)?.length ?? 0;
        if (steps.length > 0 || haltedCount > 0) {
          this.#idle.update(job, haltedCount, nowMs);
          if (this.#idle.isStarved(job, nowMs)) starved.set(job, steps);
          if (this.#idle.idleMs(job, nowMs) !== undefined) yield* this.#idleSteps(steps);
        }
      }
    }
    for (const job of this.#idle.withPriorityStart([...starved.keys()])) {
      for (const step of starved.get(job)!) {
        const sortMs = this.#idle.queuedSinceMs(job);
        if (step.rank > STARVED_RANK) yield { ...step, rank: STARVED_RANK, sortMs, maxTasks: 1 };
      }
    }
  }

  *#stepsOf(job: JobProgress): Generator<WaitingStep> {
    const queue = this.#state.queues.get(job.spec.queue);
    for (const occurrence of job.occurrences.values()) {
      yield* waitingStepsOf(job, queue, occurrence, this.#state.timeOfDayMs);
    }
  }

  /** Yields the first step of an idle job a second time, for its catch-up task. */
  *#idleSteps([first]: readonly WaitingStep[]): Generator<WaitingStep> {
    if (!first) return;
    const { job, queue, spec, rank } = first;
    const capacityClass = capacityClassOf(queue.pool, spec.fills);
    const idleJobs = this.#idleByClass.get(capacityClass) ?? new CountByPriority();
    this.#idleByClass.set(capacityClass, idleJobs);
    idleJobs.add(queue.priority, 1);
    if (!spec.fills || rank <= CATCH_UP_RANK) return;
    yield { ...first, rank: CATCH_UP_RANK, sortMs: this.#idle.queuedSinceMs(job), maxTasks: 1 };
  }

  /**
   * Returns whether a best-effort task may be placed where it runs slowly: the priority start of a
   * job that has been starved for long, and, with ample capacity, every priority start and catch-up
   * task. The tasks beside it are slowed down as well.
   */
  #mayRunSlowly(
    { job, spec, rank }: WaitingStep,
    hasAmpleCapacity: boolean,
    nowMs: number,
  ): boolean {
    if (!spec.fills) return false;
    if (hasAmpleCapacity && (rank === STARVED_RANK || rank === CATCH_UP_RANK)) return true;
    return rank === STARVED_RANK && this.#idle.isLongStarved(job, nowMs);
  }

  #placeStep(
    step: WaitingStep,
    candidates: Candidates,
    budget: RoundBudget,
    nowMs: number,
  ): StepOutcome {
    // Its tasks are listed again in the usual order.
    if (step.rank === STARVED_RANK && !this.#idle.mayStart(step.job)) return 'placed';
    return step.spec.gang
      ? this.#placeGang(step, candidates, budget, nowMs)
      : this.#placeTasks(step, candidates, budget, nowMs);
  }

  #placeTasks(
    step: WaitingStep,
    candidates: Candidates,
    budget: RoundBudget,
    nowMs: number,
  ): StepOutcome {
    let started = 0;
    for (let index = 0; index < step.tasks.length; index += 1) {
      const task = step.tasks[index]!;
      if (task.phase === 'waiting') {
        if (started > 0 && !(budget.hasStarts && budget.hasTime)) return 'cut-short';
        const ref = { ...step.ref, index };
        const isSuspect = (task.crashWeight ?? 0) > 0;
        const worker = candidates.choose({ ref, spec: step.spec, avoid: task.worker, isSuspect });
        // The tasks of a step are alike: if one of them does not fit, the next one does not either.
        if (!worker) return candidates.isHeldBack ? 'yielded' : 'placeless';
        if (!this.#state.hasRecordRoom(step.job, [[task, worker.entry.id]])) return 'record-full';
        this.#bind(step, ref, task, worker, nextRunOf(task), nowMs);
        budget.recordStarts(1);
        this.#started(step, nowMs);
        started += 1;
        if (started === step.maxTasks) return 'placed';
      }
    }
    return 'placed';
  }

  /** Places all members or none: a part of a gang would hold its capacity and wait in vain. */
  #placeGang(
    step: WaitingStep,
    candidates: Candidates,
    budget: RoundBudget,
    nowMs: number,
  ): StepOutcome {
    if (step.tasks.some(({ phase }) => phase !== 'waiting')) return 'placed';
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1;
    const placed: [TaskRef, WorkerState][] = [];
    for (let index = 0; index < step.tasks.length; index += 1) {
      const ref = { ...step.ref, index };
      const avoid = step.tasks[index]!.worker;
      const worker = candidates.choose({ ref, spec: step.spec, avoid });
      if (!worker) break;
      worker.add(taskName(ref), newRun(ref, { run, checkpoint: '' }, step.spec, nowMs));
      placed.push([ref, worker]);
    }
    for (const [ref, worker] of placed) worker.remove(taskName(ref));
    if (placed.length > 0) candidates.capacityReturned();
    if (placed.length < step.tasks.length) return candidates.isHeldBack ? 'yielded' : 'placeless';
    const bindings = placed.map(
      ([{ index }, { entry }]) => [step.tasks[index]!, entry.id] as const,
    );
    if (!this.#state.hasRecordRoom(step.job, bindings)) {
      // All members are bound together, and there will never be more room.
      if (step.job.recordRoom.isEmpty) this.#failTooLarge(step);
      return 'record-full';
    }
    const { checkpoint } = step.tasks[0]!;
    for (const [ref, worker] of placed) {
      const task = step.tasks[ref.index]!;
      task.checkpoint = checkpoint;
      this.#bind(step, ref, task, worker, run, nowMs);
    }
    budget.recordStarts(placed.length);
    this.#started(step, nowMs);
    return 'placed';
  }

  #failTooLarge({ job, ref, tasks }: WaitingStep): void {
    this.#state.logEvent('gang-too-large', { step: stepName(ref), members: tasks.length });
    this.#state.endJob(job, 'failed', this.#state.timeOfDayMs);
  }

  #bind(
    { job, queue, spec, tasks, rank }: WaitingStep,
    ref: TaskRef,
    task: TaskProgress,
    worker: WorkerState,
    run: number,
    nowMs: number,
  ): void {
    this.#startCount += 1;
    this.ahead.started(nowMs);
    job.recordRoom.reserve(task, worker.entry.id);
    delete task.ahead;
    Object.assign(task, { phase: 'bound', run, worker: worker.entry.id });
    worker.add(taskName(ref), newRun(ref, task, spec, nowMs));
    this.#state.changed.add(job);
    this.#state.orders.push({
      kind: 'start',
      worker: worker.entry.id,
      task: ref,
      run,
      priority: queue.priority,
      payload: job.spec.payload,
      checkpoint: task.checkpoint,
      ...this.advised.ticketOf(queue, ref, worker, nowMs),
    });
    const wait = this.#waits.of(tasks, nowMs);
    this.#state.work.started(queue, spec, wait.waitMs, wait.keptBy);
    this.#state.logEvent('bound', {
      task: taskName(ref),
      run,
      worker: worker.entry.id,
      fills: spec.fills,
      rank,
      ...wait,
    });
  }
}

/** Returns the number of the next run; that of an ahead binding is not used for another worker. */
function nextRunOf({ run, ahead }: TaskProgress): number {
  return Math.max(run, ahead?.run ?? 0) + 1;
}
