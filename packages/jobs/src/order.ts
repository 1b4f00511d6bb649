import type { TaskRef } from './task-ref.js';

/** What the scheduling node tells a worker to do. */
export type Order =
  | {
      readonly kind: 'start';
      readonly worker: string;
      readonly task: TaskRef;
      readonly run: number;
      readonly payload: string;
      readonly checkpoint: string;
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
 * What came of an order.
 *
 * - `done`: the worker has carried it out, or had before.
 * - `fenced`: another node has used a higher token there.
 * - `superseded`: this run was stopped or has ended there.
 * - `too-late`: the order's time was over.
 * - `no-room`, `unhealthy`, `invalid`: the worker did nothing.
 * - `other-life`: the worker that was meant is gone; another one has its address.
 * - `unknown`: no answer; it may have been carried out, or may yet be.
 */
export type OrderOutcome =
  | 'done'
  | 'fenced'
  | 'superseded'
  | 'too-late'
  | 'no-room'
  | 'unhealthy'
  | 'invalid'
  | 'other-life'
  | 'unknown';
