import type { QueuePolicy } from '@redwingcrank/jobs';

/** A queue as callers reach it. */
export interface QueueRoute extends QueuePolicy {
  readonly host: string;
  readonly pathPrefix: string;
  /** The operators' time limit for one call, in milliseconds. */
  readonly timeoutMs: number;
}

/** The operators' configuration, the parts that this system acts on. */
export interface ClusterConfig {
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  /** Every pool of workers that the operators name. */
  readonly pools: ReadonlySet<string>;
  readonly maxBodyBytes: number;
}
