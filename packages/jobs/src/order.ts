import type { TaskRef } from './task-ref.js';

/** An order from the leader to a worker. */
export type Order =
  | {
      readonly kind: 'start';
      readonly worker: string;
      readonly task: TaskRef;
      readonly run: number;
      /** The priority of its queue; 0 is the most urgent. */
      readonly priority: number;
      readonly payload: string;
      readonly checkpoint: string;
      /** The ticket with which the worker accepts the task; absent for queues without advice. */
      readonly ticket?: string;
    }
  | { readonly kind: 'stop'; readonly worker: string; readonly task: TaskRef; readonly run: number }
  | {
      readonly kind: 'pace';
      readonly worker: string;
      readonly task: TaskRef;
      readonly run: number;
      readonly percent: number;
    };

/**
 * The outcome of an order.
 *
 * - `done`: the worker has carried out the order, now or earlier.
 * - `fenced`: another node has used a higher fencing token at the worker.
 * - `superseded`: the run was stopped or has ended at the worker.
 * - `too-late`: the deadline of the order had passed.
 * - `no-ticket`: the worker did nothing, as the start had no valid ticket.
 * - `no-room`, `unhealthy`, `invalid`: the worker did nothing.
 * - `other-life`: the worker process that was meant has ended; another one has its address.
 * - `unknown`: no answer; the order may have been carried out, or may yet be.
 */
export type OrderOutcome =
  | 'done'
  | 'fenced'
  | 'superseded'
  | 'too-late'
  | 'no-ticket'
  | 'no-room'
  | 'unhealthy'
  | 'invalid'
  | 'other-life'
  | 'unknown';
