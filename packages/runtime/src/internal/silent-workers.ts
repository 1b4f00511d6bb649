import type { WorkerState } from '@redwingcrank/jobs';
import type { SilentWorker } from './term-leases.js';
import { SILENT_WORKER_MS } from './timing.js';
import type { WorkerLink } from './worker-link.js';

/**
 * Largest share of overdue workers, among those that have answered or are overdue, at which they
 * are listed before all workers were asked; also the largest share of workers with running tasks
 * that are listed because earlier terms did. With more, the leader itself is or was slow. It would
 * list healthy workers, which get no lease until two more records are stored, and with short terms
 * and a slow store they would get none for many terms.
 */
const MAX_LISTED_SHARE = 0.1;

/** As many workers are listed because earlier terms did, whatever share they are. */
const FEW_WORKERS = 16;

/** The workers that may hold leases and do not answer this node, or never did. */
export interface SilentWorkers {
  readonly silent: readonly SilentWorker[];
  /** False while a worker that was not contacted yet may still turn out to be silent. */
  readonly isComplete: boolean;
}

/** What a leader knows about the workers and about the tasks that run there. */
export interface KnownWorkers {
  readonly workers: ReadonlyMap<string, WorkerState>;
  readonly links: ReadonlyMap<string, Pick<WorkerLink, 'isOverdue' | 'isLost'>>;
  /** Whether the list of workers was read to its end. */
  readonly isListLoaded: boolean;
  /** Whether all started jobs are loaded, and with them the workers that may run their tasks. */
  readonly isFullyLoaded: boolean;
}

/**
 * Finds the silent workers of one term. A worker that was not contacted yet counts as silent only
 * if earlier leaders listed it: with a slow store the list of workers arrives late, and if all of
 * them were listed as silent, none would get a lease in time.
 */
export class SilenceDetector {
  /**
   * When the leases of former terms expire on workers that those terms listed as silent and that
   * this term has not contacted. A term that is shorter than the time to ask all workers would
   * otherwise not pass these bounds on, and its successor would wait for longer.
   */
  readonly #inherited: Map<string, number>;

  /** Workers that were listed because their first answer is overdue. */
  #listedOverdue: ReadonlySet<string> = new Set();

  /** Whether each worker was asked once and has answered or was overdue. */
  #wereAllAsked = false;

  /**
   * Creates the detector; `inherited` tells when the leases of former terms expire on workers that
   * those terms listed as silent.
   */
  constructor(inherited: ReadonlyMap<string, number>) {
    this.#inherited = new Map(inherited);
  }

  /**
   * Called when the worker has answered, is about to be sent a lease, or has ended: its leases no
   * longer are those of former terms.
   */
  contacted(worker: string): void {
    this.#inherited.delete(worker);
  }

  /** Finds the workers that are silent now. */
  find(known: KnownWorkers, nowMs: number): SilentWorkers {
    const inherited = this.#inheritedSilent(known);
    const silent: SilentWorker[] = [...inherited.values()];
    const overdue: WorkerState[] = [];
    let answeredCount = 0;
    let isComplete = known.isFullyLoaded;
    for (const worker of known.workers.values()) {
      const { id } = worker.entry;
      if (worker.runs.size > 0 && !inherited.has(id)) {
        const link = known.links.get(id);
        if (worker.fenced) {
          answeredCount += 1;
          const isLost = link?.isLost ?? true;
          if (isLost && nowMs - worker.answeredMs > SILENT_WORKER_MS) silent.push(worker);
        } else if (link ? link.isOverdue(nowMs) : known.isListLoaded) overdue.push(worker);
        else isComplete = false;
      }
    }
    this.#wereAllAsked ||= isComplete;
    silent.push(...this.#listed(overdue, answeredCount));
    return { silent, isComplete };
  }

  /** Returns those overdue workers that are listed. */
  #listed(overdue: readonly WorkerState[], answeredCount: number): readonly WorkerState[] {
    const isShareSmall = overdue.length <= MAX_LISTED_SHARE * (overdue.length + answeredCount);
    const listed =
      this.#wereAllAsked || isShareSmall
        ? overdue
        : overdue.filter(({ entry }) => this.#listedOverdue.has(entry.id));
    this.#listedOverdue = new Set(listed.map(({ entry }) => entry.id));
    return listed;
  }

  /** Returns the workers that are listed because earlier terms did, by worker. */
  #inheritedSilent({ workers, isFullyLoaded }: KnownWorkers): ReadonlyMap<string, SilentWorker> {
    const silent = new Map<string, SilentWorker>();
    for (const [id, leaseEndMs] of this.#inherited) {
      const mayRunTasks = !isFullyLoaded || (workers.get(id)?.runs.size ?? 0) > 0;
      if (mayRunTasks) silent.set(id, { entry: { id }, leaseEndMs });
    }
    if (silent.size <= FEW_WORKERS) return silent;
    const busyCount = [...workers.values()].filter(({ runs }) => runs.size > 0).length;
    return silent.size <= MAX_LISTED_SHARE * busyCount ? silent : new Map();
  }
}
