import type { AdvicePolicy, AdviceQuery } from '../advice.js';
import type { QueuePolicy, StepSpec } from '../job.js';
import { isFinal } from '../job.js';
import type { JobProgress, Occurrence, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { stepName } from '../task-ref.js';
import type { ClusterState } from './cluster-state.js';
import type { Candidates, RoundCandidates } from './round-candidates.js';
import type { PlacementPolicy } from './placement.js';
import type { AdvisableWorker } from './placement-advice.js';
import { criticalPathsMs, objectiveMsOf } from './urgency.js';
import type { WaitingStep } from './waiting-steps.js';
import { isWaiting, requestedMsOf } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/** A step that cannot start yet needs no more approved workers than this. */
const ENOUGH_APPROVED = 8;

/** How often the steps that cannot start yet are looked up, in milliseconds. */
const LOOK_AHEAD_INTERVAL_MS = 200;

/**
 * How long a step is passed over after there was nothing to ask for it, in milliseconds:
 * thousands of steps whose approved workers are full would each be compared with all workers in
 * every round.
 */
const SETTLED_MS = 500;

/**
 * The longest expected time of a query for a step that cannot start yet, in milliseconds: a step that
 * becomes ready meanwhile has to wait for the answer.
 */
const MAX_LOOK_AHEAD_MS = 300;

/** A step of a queue with advice that may need a query. */
interface AdviceNeed {
  readonly step: string;
  readonly ref: TaskRef;
  readonly spec: StepSpec;
  readonly queue: QueuePolicy;
  readonly policy: AdvicePolicy;
  /** Whether the step has tasks that could be started now. */
  readonly isReady: boolean;
  /** Time of day at which the step has to start for its job to end in time. */
  readonly latestStartMs: number;
}

/** Finds the steps for which the advice service has to be asked. */
export class AdvisedSteps {
  readonly #state: ClusterState;

  readonly #placement: PlacementPolicy;

  /** The names of steps that were ready, kept because each of them is needed in every round. */
  readonly #names = new WeakMap<readonly TaskProgress[], string>();

  #ready: AdviceNeed[] = [];

  #upcoming: AdviceNeed[] = [];

  #lookedAheadMs = -Infinity;

  /** Until when there is nothing to ask for a step, as all workers have been answered for. */
  readonly #settledUntilMs = new Map<string, number>();

  /** Steps for which no worker is approved, as logged. */
  readonly #logged = new Set<string>();

  constructor(state: ClusterState, placement: PlacementPolicy) {
    this.#state = state;
    this.#placement = placement;
  }

  /** Returns the candidates for a step in a rack, or in its whole pool: with advice, those with a ticket. */
  candidatesOf(
    { spec, queue, ref, tasks }: WaitingStep,
    roundCandidates: RoundCandidates,
    mayRunSlowly: boolean,
    rack = '',
  ): Candidates {
    if (!queue.advice) return roundCandidates.of(spec, queue.pool, mayRunSlowly, rack);
    const ids = this.#state.advice.usableWorkers(this.#nameOf(ref, tasks), roundCandidates.nowMs);
    return roundCandidates.withTicket(spec, queue.pool, mayRunSlowly, rack, ids);
  }

  /** Returns the field of a start with the ticket for the worker; no field without advice. */
  ticketOf(
    { advice }: QueuePolicy,
    ref: TaskRef,
    { entry }: WorkerState,
    nowMs: number,
  ): { ticket?: string } {
    const ticket = advice && this.#state.advice.ticketOf(stepName(ref), entry.id, nowMs);
    return ticket === undefined ? {} : { ticket };
  }

  /** Updates the steps after a round, with the steps that it had to place. */
  update(waiting: readonly WaitingStep[], nowMs: number): void {
    this.#ready = [];
    if (!this.#state.hasAdvice) return;
    for (const { queue, spec, ref, tasks, sortMs, maxTasks, job } of waiting) {
      const policy = queue.advice;
      if (policy && maxTasks === Infinity && tasks.some(isWaiting)) {
        const step = this.#nameOf(ref, tasks);
        const latestStartMs = sortMs - criticalPathsMs(job.spec)[ref.step]!;
        this.#ready.push({ step, ref, spec, queue, policy, isReady: true, latestStartMs });
      }
    }
    if (nowMs - this.#lookedAheadMs < LOOK_AHEAD_INTERVAL_MS) return;
    this.#lookedAheadMs = nowMs;
    this.#upcoming = [...this.#upcomingSteps()];
    this.#state.advice.forget((step) => this.#isOpen(step));
    for (const known of [this.#logged, this.#settledUntilMs])
      for (const step of known.keys()) if (!this.#isOpen(step)) known.delete(step);
  }

  /** Returns how many steps with tasks to start have no worker with a valid ticket. */
  waitingCount(nowMs: number): number {
    const { advice } = this.#state;
    return this.#ready.filter(({ step }) => advice.usableWorkers(step, nowMs).next().done).length;
  }

  /** Returns the query to be sent next; undefined if no step needs one. */
  nextQuery(nowMs: number): AdviceQuery | undefined {
    const needs = [...this.#ready, ...this.#upcoming].filter(
      (need) => nowMs >= (this.#settledUntilMs.get(need.step) ?? 0) && this.#lacks(need, nowMs),
    );
    needs.sort(byNeed);
    for (const need of needs) {
      const leftMs = (need.latestStartMs - this.#state.timeOfDayMs) / needs.length;
      const availableMs = need.isReady ? leftMs : Math.min(leftMs, MAX_LOOK_AHEAD_MS);
      const { step, policy } = need;
      const workers = this.#workersFor(need, nowMs);
      const query = this.#state.advice.queryFor(step, policy, workers, availableMs, nowMs);
      if (query) return query;
      this.#settledUntilMs.set(step, nowMs + SETTLED_MS);
      if (need.isReady) this.#logIfNoneApproved(need);
    }
    return undefined;
  }

  #nameOf(ref: TaskRef, tasks: readonly TaskProgress[]): string {
    const known = this.#names.get(tasks);
    if (known !== undefined) return known;
    const name = stepName(ref);
    this.#names.set(tasks, name);
    return name;
  }

  /** Whether the step needs more approved workers than are known to have capacity for it. */
  #lacks({ step, ref, spec, isReady }: AdviceNeed, nowMs: number): boolean {
    const { advice, workers } = this.#state;
    if (!isReady) return advice.approvedCount(step) < Math.min(spec.taskCount, ENOUGH_APPROVED);
    for (const id of advice.usableWorkers(step, nowMs)) {
      const worker = workers.get(id);
      const hasTurn =
        worker && (spec.maxPerWorker === 0 || worker.countOf(ref) < spec.maxPerWorker);
      if (hasTurn && typeof this.#placement.evaluate(spec, worker, nowMs) === 'number')
        return false;
    }
    return true;
  }

  *#workersFor({ step, queue, spec }: AdviceNeed, nowMs: number): Generator<AdvisableWorker> {
    const refused = this.#state.advice.refusedFor(step);
    for (const worker of this.#state.workers.values()) {
      const { id, pool } = worker.entry;
      if (pool === queue.pool && !refused.has(id)) {
        const score = this.#placement.evaluate(spec, worker, nowMs);
        const isExcluded = score === 'closed' || score === 'evacuated' || score === 'label';
        if (!isExcluded) yield { id, hasCapacity: typeof score === 'number' };
      }
    }
  }

  #logIfNoneApproved({ step, queue }: AdviceNeed): void {
    const { advice, workers } = this.#state;
    if (this.#logged.has(step) || advice.approvedCount(step) > 0) return;
    const inPool = [...workers.values()].filter(
      ({ entry, listed }) => entry.pool === queue.pool && listed && !entry.draining,
    );
    const refused = advice.refusedFor(step);
    if (inPool.length === 0 || !inPool.every(({ entry }) => refused.has(entry.id))) return;
    this.#logged.add(step);
    this.#state.logEvent('advice-none', { step, pool: queue.pool, workers: inPool.length });
  }

  *#upcomingSteps(): Generator<AdviceNeed> {
    for (const job of this.#state.jobs.values()) {
      const queue = this.#state.queues.get(job.spec.queue);
      if (queue?.advice && !isFinal(job.state)) {
        for (const occurrence of job.occurrences.values())
          yield* this.#upcomingOf(job, queue, queue.advice, occurrence);
      }
    }
  }

  /** Yields the steps that wait for other steps, of which one has started. */
  *#upcomingOf(
    job: JobProgress,
    queue: QueuePolicy,
    policy: AdvicePolicy,
    occurrence: Occurrence,
  ): Generator<AdviceNeed> {
    const deadlineMs = requestedMsOf(job, occurrence) + objectiveMsOf(job.spec, queue);
    for (const [index, spec] of job.spec.steps.entries()) {
      const hasStarted = spec.after.some((earlier) => !occurrence.steps[earlier]!.every(isWaiting));
      if (hasStarted && !job.isStepReady(occurrence, index)) {
        const ref = { jobId: job.spec.id, occurrence: occurrence.number, step: index, index: 0 };
        const latestStartMs = deadlineMs - criticalPathsMs(job.spec)[index]!;
        yield { step: stepName(ref), ref, spec, queue, policy, isReady: false, latestStartMs };
      }
    }
  }

  /** Whether the job of a step, and its occurrence, are open. */
  #isOpen(step: string): boolean {
    const [jobId = '', occurrence] = step.split('.');
    const job = this.#state.jobs.get(jobId);
    return job !== undefined && !isFinal(job.state) && job.occurrences.has(Number(occurrence));
  }
}

function byNeed(a: AdviceNeed, b: AdviceNeed): number {
  if (a.isReady !== b.isReady) return a.isReady ? -1 : 1;
  if (a.queue.priority !== b.queue.priority) return a.queue.priority - b.queue.priority;
  return a.latestStartMs - b.latestStartMs;
}
