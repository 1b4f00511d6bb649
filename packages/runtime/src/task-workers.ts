import type { Order, OrderOutcome, WorkerReport } from '@redwingcrank/jobs';

/** A worker process as it is addressed: one life of it at one place. */
export interface WorkerAddress {
  readonly id: string;
  readonly address: string;
}

export interface RenewRequest {
  readonly token: number;
  /** Ends up to this number may be forgotten. */
  readonly ackedEnd: number;
  /** Until when on the worker's clock all that runs there may run; absent to only look. */
  readonly deadlineMs?: number;
  /** How long the answer may wait for an end. */
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
  /** The worker's clock, where it answered with it. */
  readonly clockMs?: number;
  readonly reason: string;
}

/** Calls to workers. None of them throws for what a worker or the network may do. */
export abstract class TaskWorkers {
  abstract renew(worker: WorkerAddress, req: RenewRequest): Promise<RenewResult>;

  /** Carries out an order; a start takes no effect after `deadlineMs` on the worker's clock. */
  abstract order(
    worker: WorkerAddress,
    order: Order,
    token: number,
    deadlineMs: number,
  ): Promise<OrderResult>;

  /** Drops connections to a worker that is gone. */
  abstract disconnect(worker: WorkerAddress): void;
}
