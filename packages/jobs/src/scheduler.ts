import type { JobState, QueuePolicy, StepSpec } from './job.js';
import { isFinal } from './job.js';
import type { JobProgress, TaskProgress } from './job-progress.js';
import type { Order, OrderOutcome } from './order.js';
import type { TaskRef } from './task-ref.js';
import { parseTaskName, taskName } from './task-ref.js';
import type { EndedRow, RunningRow, WorkerEntry, WorkerReport } from './worker.js';
import type { PlacementPolicy } from './internal/placement.js';
import { MostLeftOver } from './internal/placement.js';
import { mustLeave } from './internal/evacuation.js';
import { choosePaces, fillParts } from './internal/pacing.js';
import { PressModel } from './internal/press-model.js';
import { STRAY_SPEC, boundTasks, findTask, newRun, unlistedEntry } from './internal/runs.js';
import type { WaitingStep } from './internal/waiting-steps.js';
import { byUrgency, waitingStepsOf } from './internal/waiting-steps.js';
import type { WorkerRun } from './internal/worker-state.js';
import { WorkerState } from './internal/worker-state.js';

/** Times and limits of the scheduling decisions, in milliseconds of the node's steady clock. */
export interface SchedulerTiming {
  /** After its newest renewal, an unreachable worker's leases are over at the latest. */
  readonly leaseMs: number;
  /** At the start of a term: how long leases may last that an earlier node has given. */
  readonly inheritedLeaseMs: number;
  /** A run whose progress stands still for so long is stopped. */
  readonly standstillMs: number;
  /** A stop that has not ended its run after so long is sent again. */
  readonly stopAgainMs: number;
}

/** A decision worth a line in the log. */
export type Note = (event: string, fields: Record<string, string | number | boolean>) => void;

/** What a round of decisions came to. */
export interface Decisions {
  /** Jobs whose progress must be stored before any of the orders is sent. */
  readonly changed: readonly JobProgress[];
  readonly orders: readonly Order[];
  /** By worker: ends that may be acknowledged once the changes are stored. */
  readonly acks: ReadonlyMap<string, number>;
}

/** Where a queue is not known any more, jobs keep the usual number of attempts. */
const DEFAULT_ATTEMPTS = 3;

/** So many ends at most stand in one report; in a full one others may be missing. */
const FULL_REPORT = 500;

/** How long a worker that had no room is left alone, in ms: until its next ends are known. */
const FULL_PAUSE_MS = 200;

/**
 * All decisions about jobs and workers, for the one node that schedules. It has no sockets and no
 * clock: callers hand in what happened and when, and carry out what `decide` returns.
 *
 * The order that keeps a task from running twice: `decide` marks a task as bound to a worker; the
 * caller stores that; only then is the start sent. A later node therefore finds, for each task
 * that may run anywhere, the worker to ask.
 */
export class Scheduler {
  readonly #timing: SchedulerTiming;

  readonly #note: Note;

  readonly #placement: PlacementPolicy;

  readonly #model: PressModel;

  readonly #jobs = new Map<string, JobProgress>();

  readonly #queues = new Map<string, QueuePolicy>();

  readonly #workers = new Map<string, WorkerState>();

  readonly #changed = new Set<JobProgress>();

  #orders: Order[] = [];

  readonly #endsProcessed = new Set<WorkerState>();

  readonly #startedMs: number;

  /** As of the newest round; ends of jobs are dated by it. */
  #timeOfDayMs = 0;

  constructor(
    timing: SchedulerTiming,
    nowMs: number,
    note: Note,
    model = new PressModel(),
    placement: PlacementPolicy = new MostLeftOver(model),
  ) {
    this.#timing = timing;
    this.#startedMs = nowMs;
    this.#note = note;
    this.#model = model;
    this.#placement = placement;
  }

  get jobs(): ReadonlyMap<string, JobProgress> {
    return this.#jobs;
  }

  get workers(): ReadonlyMap<string, WorkerState> {
    return this.#workers;
  }

  setQueues(queues: Iterable<QueuePolicy>): void {
    for (const queue of queues) this.#queues.set(queue.name, queue);
  }

  /** Takes on a job: one just accepted, or one that an earlier node has brought so far. */
  addJob(progress: JobProgress): void {
    const { id } = progress.spec;
    if (this.#jobs.has(id)) return;
    this.#jobs.set(id, progress);
    for (const [ref, task] of boundTasks(progress)) this.#inherit(progress, ref, task);
  }

  /** Forgets a job that is over and whose record has been deleted. */
  dropJob(id: string): void {
    this.#jobs.delete(id);
  }

  cancel(id: string, timeOfDayMs: number): void {
    const job = this.#jobs.get(id);
    if (!job || isFinal(job.state)) return;
    this.#end(job, 'cancelled', timeOfDayMs);
  }

  /** The store lists the worker, or what it says of itself has changed. */
  listWorker(entry: WorkerEntry, nowMs: number): void {
    const worker = this.#workers.get(entry.id) ?? this.#addWorker(entry);
    worker.entry = entry;
    worker.listed = true;
    if (entry.draining) worker.leavesMs = Math.min(worker.leavesMs, nowMs + entry.remainingMs);
  }

  /** The store no longer lists the worker. It may still run what it has. */
  unlistWorker(id: string): void {
    const worker = this.#workers.get(id);
    if (worker) worker.listed = false;
  }

  /** The worker's life is known to be over: nothing runs there. */
  workerGone(id: string, nowMs: number, why: string): void {
    const worker = this.#workers.get(id);
    if (!worker) return;
    this.#note('worker-gone', { worker: id, why, runs: worker.runs.size });
    this.#releaseAll(worker, nowMs);
    this.#workers.delete(id);
  }

  /** A call that renews the worker's lease is being sent. */
  leaseSent(id: string, leaseEndMs: number): void {
    const worker = this.#workers.get(id);
    if (worker) worker.leaseEndMs = Math.max(worker.leaseEndMs, leaseEndMs);
  }

  /** The worker has listed what it runs and what has ended; it was asked at `askedMs`. */
  report(id: string, report: WorkerReport, askedMs: number, nowMs: number): void {
    const worker = this.#workers.get(id);
    if (!worker) return;
    worker.answeredMs = nowMs;
    if (!worker.fenced) this.#fenced(worker, report, nowMs);
    for (const row of report.running) this.#running(worker, row, nowMs);
    for (const row of report.ended) {
      if (row.number > worker.processedEnd) this.#ended(worker, row, nowMs);
    }
    if (report.ended.length < FULL_REPORT) this.#releaseAbsent(worker, report, askedMs, nowMs);
    this.#learn(worker);
    this.#pace(worker, nowMs);
  }

  /** From now on no earlier node's call takes effect there, so its leases end with the longest. */
  #fenced(worker: WorkerState, report: WorkerReport, nowMs: number): void {
    Object.assign(worker, { fenced: true, leaseEndMs: nowMs + this.#timing.leaseMs });
    this.#note('worker-fenced', { worker: worker.entry.id, running: report.running.length });
  }

  /** What came of an order that `decide` returned. */
  answered(order: Order, outcome: OrderOutcome, nowMs: number, settledMs: number): void {
    const worker = this.#workers.get(order.worker);
    if (!worker) return;
    if (outcome === 'other-life') {
      this.workerGone(order.worker, nowMs, 'other-life');
      return;
    }
    if (order.kind === 'start') this.#startAnswered(worker, order, outcome, nowMs, settledMs);
  }

  /** Everything that follows from what was handed in since the last call. */
  decide(nowMs: number, timeOfDayMs: number): Decisions {
    this.#timeOfDayMs = timeOfDayMs;
    this.#expireSilent(nowMs);
    this.#openDue(timeOfDayMs);
    this.#placeAll(nowMs);
    this.#stopUnwanted(nowMs);
    for (const job of this.#changed) if (!isFinal(job.state)) job.closeOccurrences(timeOfDayMs);
    const decisions = {
      changed: [...this.#changed],
      orders: this.#orders,
      acks: new Map(
        [...this.#endsProcessed].map((worker) => [worker.entry.id, worker.processedEnd]),
      ),
    };
    this.#changed.clear();
    this.#orders = [];
    this.#endsProcessed.clear();
    return decisions;
  }

  /** The changes that let the worker forget these ends are stored. */
  acknowledge(acks: ReadonlyMap<string, number>): void {
    for (const [id, number] of acks) {
      const worker = this.#workers.get(id);
      if (worker) worker.ackedEnd = Math.max(worker.ackedEnd, number);
    }
  }

  /** The first due time of an occurrence that is still to come; undefined if there is none. */
  nextDueMs(): number | undefined {
    let next: number | undefined;
    for (const job of this.#jobs.values()) {
      const waits = !isFinal(job.state) && job.nextOccurrence < job.occurrenceCount;
      if (waits && (next === undefined || job.nextDueMs < next)) next = job.nextDueMs;
    }
    return next;
  }

  #addWorker(entry: WorkerEntry): WorkerState {
    const worker = new WorkerState(entry, this.#startedMs + this.#timing.inheritedLeaseMs);
    this.#workers.set(entry.id, worker);
    return worker;
  }

  /** A task that an earlier node has bound: its worker must be asked before anything else. */
  #inherit(job: JobProgress, ref: TaskRef, task: TaskProgress): void {
    let worker = this.#workers.get(task.worker);
    if (!worker) {
      worker = this.#addWorker(unlistedEntry(task.worker));
      worker.listed = false;
    }
    worker.add(taskName(ref), {
      ...newRun(ref, task, job.spec.steps[ref.step]!, this.#startedMs),
      settledMs: -Infinity,
    });
  }

  #running(worker: WorkerState, row: RunningRow, nowMs: number): void {
    const run = worker.runs.get(row.task);
    if (!run || run.run !== row.run) {
      this.#stray(worker, row, nowMs);
      return;
    }
    run.seen = true;
    run.checkpoint = row.checkpoint;
    run.measure = row.measure;
    const isOver = run.spec.targetMs > 0 && row.measure > run.spec.targetMs;
    run.overSinceMs = isOver ? run.overSinceMs || nowMs : 0;
    if (row.percent !== run.percent || row.percent === 100) run.movedMs = nowMs;
    run.percent = row.percent;
    const job = this.#jobs.get(run.ref.jobId);
    const task = job && findTask(job, run.ref);
    if (task?.phase === 'bound' && row.checkpoint) task.checkpoint = row.checkpoint;
    const idleMs = nowMs - run.movedMs;
    if (idleMs > this.#timing.standstillMs && run.pace === 100 && run.stopSentMs === 0) {
      this.#note('run-stands-still', {
        task: row.task,
        run: row.run,
        worker: worker.entry.id,
        idleMs,
      });
      worker.health.stoodStill(nowMs);
      this.#stop(worker, run, nowMs);
    }
  }

  /** A run that no job asks for: from before a lapse, or of a job that is long over. */
  #stray(worker: WorkerState, row: RunningRow, nowMs: number): void {
    const ref = parseTaskName(row.task);
    if (!ref) return;
    const spec = this.#jobs.get(ref.jobId)?.spec.steps[ref.step] ?? STRAY_SPEC;
    const run = newRun(ref, { run: row.run, checkpoint: row.checkpoint }, spec, nowMs);
    if (worker.runs.has(row.task)) return;
    worker.add(row.task, { ...run, seen: true, settledMs: -Infinity });
    this.#note('stray-run', { task: row.task, run: row.run, worker: worker.entry.id });
  }

  #ended(worker: WorkerState, row: EndedRow, nowMs: number): void {
    worker.processedEnd = row.number;
    this.#endsProcessed.add(worker);
    const ref = parseTaskName(row.task);
    if (!ref) return;
    const run = worker.runs.get(row.task);
    const isCurrent = run?.run === row.run;
    if (isCurrent) worker.remove(row.task);
    if (row.how === 'done') worker.health.ended(true, nowMs);
    if (row.how === 'failed') worker.health.ended(false, nowMs);
    const job = this.#jobs.get(ref.jobId);
    const task = job && findTask(job, ref);
    const isBinding =
      task?.phase === 'bound' && task.run === row.run && task.worker === worker.entry.id;
    this.#note('run-ended', {
      task: row.task,
      run: row.run,
      worker: worker.entry.id,
      how: row.how,
      current: isBinding,
    });
    if (job && task && isBinding) this.#taskEnded(job, ref, task, row);
  }

  #taskEnded(job: JobProgress, ref: TaskRef, task: TaskProgress, row: EndedRow): void {
    const spec = job.spec.steps[ref.step]!;
    this.#changed.add(job);
    if (row.how === 'done' && !spec.lasting) {
      this.#done(job, ref, spec);
      return;
    }
    this.#release(job, ref, task, row.checkpoint);
    if (row.how === 'failed' && !spec.lasting) this.#failed(job, ref, task, spec);
  }

  #done(job: JobProgress, ref: TaskRef, spec: StepSpec): void {
    const tasks = job.occurrences.get(ref.occurrence)!.steps[ref.step]!;
    const ended = spec.gang ? tasks : [tasks[ref.index]!];
    for (const task of ended) task.phase = 'done';
  }

  #failed(job: JobProgress, ref: TaskRef, task: TaskProgress, spec: StepSpec): void {
    const tasks = job.occurrences.get(ref.occurrence)?.steps[ref.step] ?? [];
    const counted = spec.gang ? tasks[0]! : task;
    counted.failures += 1;
    const attempts = this.#queues.get(job.spec.queue)?.maxAttempts ?? DEFAULT_ATTEMPTS;
    if (counted.failures < attempts) return;
    for (const member of spec.gang ? tasks : [task]) member.phase = 'failed';
    this.#end(job, 'failed', this.#timeOfDayMs);
  }

  /** The task runs nowhere any more and waits for its next start. */
  #release(job: JobProgress, ref: TaskRef, task: TaskProgress, checkpoint: string): void {
    task.phase = 'waiting';
    if (checkpoint) task.checkpoint = checkpoint;
    this.#changed.add(job);
  }

  #end(job: JobProgress, state: JobState, timeOfDayMs: number): void {
    job.finish(state, timeOfDayMs);
    this.#changed.add(job);
    this.#note('job-ended', { job: job.spec.id, state });
  }

  #releaseAbsent(worker: WorkerState, report: WorkerReport, askedMs: number, nowMs: number): void {
    const listed = new Set(report.running.map(({ task, run }) => `${task} ${run}`));
    for (const [key, run] of worker.runs) {
      if (!listed.has(`${key} ${run.run}`) && askedMs > run.settledMs) {
        this.#note('run-absent', { task: key, run: run.run, worker: worker.entry.id });
        this.#releaseRun(worker, key, run, nowMs);
      }
    }
  }

  #releaseAll(worker: WorkerState, nowMs: number): void {
    for (const [key, run] of worker.runs) this.#releaseRun(worker, key, run, nowMs);
  }

  #releaseRun(worker: WorkerState, key: string, run: WorkerRun, _nowMs: number): void {
    worker.remove(key);
    const job = this.#jobs.get(run.ref.jobId);
    const task = job && findTask(job, run.ref);
    if (!job || task?.phase !== 'bound') return;
    if (task.run !== run.run || task.worker !== worker.entry.id) return;
    this.#release(job, run.ref, task, run.checkpoint);
  }

  #startAnswered(
    worker: WorkerState,
    order: Order & { kind: 'start' },
    outcome: OrderOutcome,
    nowMs: number,
    settledMs: number,
  ): void {
    const key = taskName(order.task);
    const run = worker.runs.get(key);
    if (!run || run.run !== order.run) return;
    // A run that is over there may have ended well: only the worker's lists can tell.
    if (outcome === 'done' || outcome === 'unknown' || outcome === 'superseded') {
      run.settledMs = settledMs;
      return;
    }
    if (outcome === 'no-room') worker.fullUntilMs = nowMs + FULL_PAUSE_MS;
    if (outcome === 'unhealthy') worker.health.stoodStill(nowMs);
    this.#releaseRun(worker, key, run, nowMs);
  }

  /** Releases what runs on workers whose leases are over without a word from them. */
  #expireSilent(nowMs: number): void {
    for (const worker of this.#workers.values()) {
      const isSilent =
        nowMs > worker.leaseEndMs && nowMs - worker.answeredMs > this.#timing.leaseMs;
      if (isSilent && (worker.runs.size > 0 || !worker.listed)) {
        this.#note('leases-over', { worker: worker.entry.id, runs: worker.runs.size });
        this.#releaseAll(worker, nowMs);
        if (!worker.listed) this.#workers.delete(worker.entry.id);
      }
    }
  }

  #openDue(timeOfDayMs: number): void {
    for (const job of this.#jobs.values()) {
      const isOpen = !isFinal(job.state) && job.nextOccurrence < job.occurrenceCount;
      if (isOpen && job.openDue(timeOfDayMs)) this.#changed.add(job);
    }
  }

  #placeAll(nowMs: number): void {
    const waiting = [...this.#waitingSteps()].sort(byUrgency);
    for (const step of waiting) {
      if (step.spec.gang) this.#placeGang(step, nowMs);
      else this.#placeTasks(step, nowMs);
    }
  }

  *#waitingSteps(): Generator<WaitingStep> {
    for (const job of this.#jobs.values()) {
      if (!isFinal(job.state)) {
        const queue = this.#queues.get(job.spec.queue);
        for (const occurrence of job.occurrences.values()) {
          yield* waitingStepsOf(job, queue, occurrence, this.#timeOfDayMs);
        }
      }
    }
  }

  #placeTasks(step: WaitingStep, nowMs: number): void {
    for (let index = 0; index < step.tasks.length; index += 1) {
      const task = step.tasks[index]!;
      if (task.phase === 'waiting') {
        const ref = { ...step.ref, index };
        const worker = this.#choose(step, ref, task, nowMs);
        // The tasks of a step are alike: where one finds no place, the next finds none either.
        if (!worker) return;
        this.#bind(step, ref, task, worker, task.run + 1, nowMs);
      }
    }
  }

  /** All members or none: a part of a gang would hold its room and wait in vain. */
  #placeGang(step: WaitingStep, nowMs: number): void {
    if (step.tasks.some(({ phase }) => phase !== 'waiting')) return;
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1;
    const placed: [TaskRef, WorkerState][] = [];
    for (let index = 0; index < step.tasks.length; index += 1) {
      const ref = { ...step.ref, index };
      const worker = this.#choose(step, ref, step.tasks[index]!, nowMs);
      if (!worker) break;
      worker.add(taskName(ref), newRun(ref, { run, checkpoint: '' }, step.spec, nowMs));
      placed.push([ref, worker]);
    }
    for (const [ref, worker] of placed) worker.remove(taskName(ref));
    if (placed.length < step.tasks.length) return;
    const { checkpoint } = step.tasks[0]!;
    for (const [ref, worker] of placed) {
      const task = step.tasks[ref.index]!;
      task.checkpoint = checkpoint;
      this.#bind(step, ref, task, worker, run, nowMs);
    }
  }

  #choose(
    step: WaitingStep,
    ref: TaskRef,
    task: TaskProgress,
    nowMs: number,
  ): WorkerState | undefined {
    const placing = { ref, spec: step.spec, avoid: task.worker };
    return this.#placement.choose(placing, this.#poolOf(step.queue.pool), nowMs);
  }

  *#poolOf(pool: string): Generator<WorkerState> {
    for (const worker of this.#workers.values()) {
      if (worker.entry.pool === pool) yield worker;
    }
  }

  #bind(
    { job, spec }: WaitingStep,
    ref: TaskRef,
    task: TaskProgress,
    worker: WorkerState,
    run: number,
    nowMs: number,
  ): void {
    Object.assign(task, { phase: 'bound', run, worker: worker.entry.id });
    worker.add(taskName(ref), newRun(ref, task, spec, nowMs));
    job.begin();
    this.#changed.add(job);
    this.#orders.push({
      kind: 'start',
      worker: worker.entry.id,
      task: ref,
      run,
      payload: job.spec.payload,
      checkpoint: task.checkpoint,
    });
    this.#note('bound', { task: taskName(ref), run, worker: worker.entry.id, fills: spec.fills });
  }

  /** Stops what runs for jobs that are over, and what no job asks for. */
  #stopUnwanted(nowMs: number): void {
    for (const worker of this.#workers.values()) {
      for (const run of worker.runs.values()) {
        const again = nowMs - run.stopSentMs >= this.#timing.stopAgainMs;
        const isDue = this.#isUnwanted(worker, run) || mustLeave(worker, run, nowMs);
        if (again && isDue) this.#stop(worker, run, nowMs);
      }
    }
  }

  #isUnwanted(worker: WorkerState, run: WorkerRun): boolean {
    const job = this.#jobs.get(run.ref.jobId);
    const task = job && findTask(job, run.ref);
    if (!job || !task || isFinal(job.state)) return true;
    if (run.stopSentMs > 0) return true;
    const isBinding = task.run === run.run && task.worker === worker.entry.id;
    if (!isBinding || task.phase === 'waiting') return true;
    // The other members of a gang end by themselves when one has ended well.
    return this.#isBrokenGang(job, run);
  }

  #isBrokenGang(job: JobProgress, run: WorkerRun): boolean {
    if (!run.spec.gang) return false;
    const tasks = job.occurrences.get(run.ref.occurrence)!.steps[run.ref.step]!;
    return tasks.some(({ phase }) => phase === 'waiting');
  }

  #stop(worker: WorkerState, run: WorkerRun, nowMs: number): void {
    run.stopSentMs = nowMs;
    this.#orders.push({ kind: 'stop', worker: worker.entry.id, task: run.ref, run: run.run });
    this.#note('stop', { task: taskName(run.ref), run: run.run, worker: worker.entry.id });
  }

  #learn(worker: WorkerState): void {
    const parts = fillParts(worker);
    for (const { spec, seen, percent, measure } of worker.runs.values()) {
      // A task that starts up has no tail of its own yet.
      if (spec.targetMs > 0 && seen && percent === 100) {
        this.#model.learn({ image: spec.image, ratio: measure / spec.targetMs, parts });
      }
    }
  }

  #pace(worker: WorkerState, nowMs: number): void {
    for (const { run, percent } of choosePaces(worker, this.#model, nowMs)) {
      this.#note('pace', {
        task: taskName(run.ref),
        run: run.run,
        worker: worker.entry.id,
        from: run.pace,
        to: percent,
      });
      Object.assign(run, { pace: percent, movedMs: nowMs });
      Object.assign(worker, { paceChangedMs: nowMs });
      this.#orders.push({
        kind: 'pace',
        worker: worker.entry.id,
        task: run.ref,
        run: run.run,
        percent,
      });
      if (percent === 0 && run.spec.checkpointing && run.stopSentMs === 0) {
        this.#stop(worker, run, nowMs);
      }
    }
  }
}
