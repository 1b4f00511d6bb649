import type { Order, RunningRow } from '@redwingcrank/jobs';
import type { OrderResult, RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
import { TaskWorkers } from '../task-workers.js';
import { steadyMs } from '../internal/delay.js';
import { pause } from './wait.js';

/** Workers that answer every renewal after the wait it asks for, and accept every order. */
export class HealthyWorkers extends TaskWorkers {
  /** The runs on each worker; a worker without an entry is idle. */
  readonly running = new Map<string, RunningRow[]>();

  override async renew({ id }: WorkerAddress, { waitMs }: RenewRequest): Promise<RenewResult> {
    await pause(waitMs);
    const running = this.running.get(id) ?? [];
    return { outcome: 'done', report: { clockMs: steadyMs(), running, ended: [] } };
  }

  override async order(_worker: WorkerAddress, _order: Order): Promise<OrderResult> {
    return { outcome: 'done', reason: '' };
  }

  override forget(): void {}
}
