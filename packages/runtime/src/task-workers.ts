import type { Order, OrderOutcome, WorkerReport } from '@redwingcrank/jobs';

/** A worker and its address. */
export interface WorkerAddress {
  readonly id: string;
  readonly address: string;
  /** The process that is meant; undefined if any that answers under the id is, or it is not known. */
  readonly incarnation?: number;
}

export interface RenewRequest {
  readonly token: number;
  /** The worker may drop ended runs up to this number. */
  readonly ackedEnd: number;
  /**
   * The time on the worker's clock until which its runs may continue; absent to only read the
   * report.
   */
  readonly deadlineMs?: number;
  /** How long the answer may wait for a run to end, in milliseconds. */
  readonly waitMs: number;
}

export type RenewResult =
  | { readonly outcome: 'done'; readonly report: WorkerReport }
  | {
      readonly outcome: 'fenced' | 'other-life' | 'unhealthy' | 'unknown';
      readonly reason: string;
    };

export interface OrderResult {
  readonly outcome: OrderOutcome;
  /** The worker's clock, if its answer included it. */
  readonly clockMs?: number;
  readonly reason: string;
}

/** Calls to workers. They never throw for faults of a worker or of the network. */
export abstract class TaskWorkers {
  abstract renew(worker: WorkerAddress, req: RenewRequest): Promise<RenewResult>;

  /** Sends an order; a start has no effect after `deadlineMs` on the worker's clock. */
  abstract order(
    worker: WorkerAddress,
    order: Order,
    token: number,
    deadlineMs: number,
  ): Promise<OrderResult>;

  /** Closes connections to a worker that has ended. */
  abstract disconnect(worker: WorkerAddress): void;
}
