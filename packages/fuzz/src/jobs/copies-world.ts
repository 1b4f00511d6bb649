import type { JobSpec } from '@redwingcrank/jobs';
import type { Coverage } from '../coverage.js';
import { JobsOracle } from './jobs-oracle.js';
import { JobsWorld } from './jobs-world.js';
import type { ModelLeader } from './model-leader.js';
import type { ModelWorker } from './model-worker.js';
import { modelJob } from './model-worker.js';
import { RecoveryPhase } from './recovery-phase.js';

/** The time between two looks at the running tasks while all jobs are finished, in milliseconds. */
const FINISH_STEP_MS = 500;

/**
 * The number of looks by which every job must have ended: leases of a worker that stays cut are over
 * within 20 s, and what is started then takes a second for each of two steps.
 */
const MAX_FINISH_STEPS = 80;

/** Rounds in which the start of a new task stays without an answer, so that the task gets a copy. */
const SILENT_ROUNDS = 4;

/** The time between these rounds, in milliseconds. */
const ROUND_MS = 250;

/** Rounds after which an end was read, stored and acknowledged. */
const ACK_ROUNDS = 3;

/** Allows two runs of a task at once if its job is `speculative`. */
class CopiesOracle extends JobsOracle {
  readonly #speculative = new Set<string>();

  expectCopies(jobId: string): void {
    this.#speculative.add(jobId);
  }

  protected override maxRunsOf(jobId: string): number {
    return this.#speculative.has(jobId) ? 2 : 1;
  }
}

/** A world in which the steps of every other job are `speculative`. */
export class CopiesWorld extends JobsWorld {
  readonly #oracle: CopiesOracle;

  constructor(coverage: Coverage, oracle = new CopiesOracle()) {
    super(coverage, false, oracle);
    this.#oracle = oracle;
  }

  protected override createJob(id: string, width: number): JobSpec {
    const isSpeculative = this.jobIds.length % 2 === 0;
    if (isSpeculative) this.#oracle.expectCopies(id);
    return modelJob(id, width, isSpeculative);
  }

  /**
   * Ends every task that runs until all jobs have ended; only the worker at `cut` stays cut. Before
   * that, one run of a task ends while the start of the other is on its way, also after a takeover.
   */
  finishJobs(cut: number, isTakenOver: boolean): void {
    const recovery = new RecoveryPhase(this);
    recovery.restore(cut);
    this.#endBeforeStart(isTakenOver);
    for (let step = 0; step < MAX_FINISH_STEPS && this.#openJobs().length > 0; step += 1) {
      for (const worker of this.workers)
        for (const order of worker.running) worker.end(order, 'done');
      recovery.advance(FINISH_STEP_MS);
    }
    const lost = this.#openJobs();
    if (lost.length > 0) throw new Error(`${lost.join(', ')} did not end`);
  }

  #endBeforeStart(isTakenOver: boolean): void {
    this.submit(1);
    const sender = this.currentLeader;
    for (let round = 0; round < SILENT_ROUNDS; round += 1) {
      this.passTime(ROUND_MS);
      this.#renewAndRound(sender, this.workers);
    }
    const starts = sender.inFlight.filter(({ order }) => order.kind === 'start');
    const [first] = starts;
    if (first) this.deliver(sender, sender.inFlight.indexOf(first), false);
    if (isTakenOver) this.elect();
    // Workers on which nothing runs are not asked, as a start may be on its way to them.
    const busy = this.workers.filter(({ running }) => running.length > 0);
    for (const worker of busy) for (const order of worker.running) worker.end(order, 'done');
    for (let round = 0; round < ACK_ROUNDS; round += 1)
      this.#renewAndRound(this.currentLeader, busy);
    for (const sent of starts.slice(1)) {
      const index = sender.inFlight.indexOf(sent);
      if (index >= 0) this.deliver(sender, index, false);
    }
  }

  #renewAndRound(leader: ModelLeader, workers: readonly ModelWorker[]): void {
    for (const worker of workers) this.renew(leader, worker, 'answered');
    this.round(leader, 'answered');
  }

  #openJobs(): string[] {
    return this.jobIds.filter((id) => !this.hasEnded(id));
  }
}
