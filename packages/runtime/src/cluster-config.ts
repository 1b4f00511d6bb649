import type { QueuePolicy } from '@redwingcrank/jobs';
import type { Decoded } from './record-fault.js';

/** A queue and the route by which callers reach it. */
export interface QueueRoute extends QueuePolicy {
  readonly host: string;
  readonly pathPrefix: string;
  /** The operators' timeout for one call, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * A record by which operators have a data centre evacuated: while it is present, no task may be
 * started there.
 */
export interface EvacuationRecord {
  readonly dataCentre: string;
  /** Whether the record was written or deleted, or why it cannot be used. */
  readonly content: Decoded<'present' | 'deleted'>;
}

/** The part of the operators' configuration that this system uses. */
export interface ClusterConfig {
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  /** The names of all configured pools of workers. */
  readonly pools: ReadonlySet<string>;
  readonly maxBodyBytes: number;
}
