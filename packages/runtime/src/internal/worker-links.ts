import type { WorkerState } from '@redwingcrank/jobs';
import type { NodeLog } from '../node-log.js';
import type { TaskWorkers } from '../task-workers.js';
import { LinkStarter } from './link-starter.js';
import { RetryBudget } from './retry-budget.js';
import type { LinkListener } from './worker-link.js';
import { WorkerLink } from './worker-link.js';

/** Settings shared by all links of a term. */
export interface LinkSettings {
  readonly listener: LinkListener;
  readonly workers: TaskWorkers;
  readonly log: NodeLog;
  /** The length of the leases that a link grants, in milliseconds. */
  readonly leaseMs: number;
  /** Aborted when the term ends: no link starts after that. */
  readonly signal: AbortSignal;
}

/** The links of a leader to its workers: one to the process of each worker, from when it is listed. */
export class WorkerLinks {
  readonly #settings: LinkSettings;

  readonly #starter: LinkStarter;

  /** Shared by all links: an overload of this node delays the answers of all workers. */
  readonly #retries = new RetryBudget();

  readonly #links = new Map<string, WorkerLink>();

  /** The state of the process that each link was opened to. */
  readonly #states = new WeakMap<WorkerLink, WorkerState>();

  constructor(settings: LinkSettings) {
    this.#settings = settings;
    this.#starter = new LinkStarter(settings.signal, (err) => {
      const reason = err instanceof Error ? (err.stack ?? err.message) : String(err);
      settings.log.emit('error', 'part-failed', { part: 'worker-link', reason });
    });
  }

  get byWorker(): ReadonlyMap<string, WorkerLink> {
    return this.#links;
  }

  /**
   * Starts a link to the process with this state unless there is one. A link to a former process with
   * the same id is closed: its reading of the clock does not apply to the present one.
   */
  open(worker: WorkerState): void {
    const { id } = worker.entry;
    const former = this.#links.get(id);
    if (former && this.#states.get(former) === worker) return;
    this.close(id);
    const { listener, workers, log, leaseMs } = this.#settings;
    const link = new WorkerLink(worker.entry, workers, listener, log, leaseMs, this.#retries);
    this.#links.set(id, link);
    this.#states.set(link, worker);
    this.#starter.start(link, worker);
  }

  close(id: string): void {
    const link = this.#links.get(id);
    if (!link) return;
    link.stop();
    this.#links.delete(id);
    this.#settings.workers.disconnect(link.address);
  }

  /** Closes the links to all workers but these. */
  closeAllBut(workers: ReadonlyMap<string, unknown>): void {
    for (const id of [...this.#links.keys()]) if (!workers.has(id)) this.close(id);
  }
}
