import type { Execution, FakeWorkerOptions } from './fake-worker.js';
import { FakeWorker } from './fake-worker.js';

/** A host whose worker can be restarted: its tasks end, its state is lost, its address stays. */
export class RestartableWorker {
  readonly #options: FakeWorkerOptions;

  readonly #earlierExecutions: Execution[] = [];

  worker: FakeWorker;

  constructor(options: FakeWorkerOptions) {
    this.#options = options;
    this.worker = new FakeWorker(options);
  }

  restart(): void {
    this.worker.kill();
    this.#earlierExecutions.push(...this.worker.history());
    this.worker = new FakeWorker(this.#options);
  }

  /** Returns the executions on this host, including those of earlier workers. */
  history(): Execution[] {
    return [...this.#earlierExecutions, ...this.worker.history()];
  }
}
