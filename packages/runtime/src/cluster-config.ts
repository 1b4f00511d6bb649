import type { QueuePolicy } from '@redwingcrank/jobs';

/** A queue and the route by which callers reach it. */
export interface QueueRoute extends QueuePolicy {
  readonly host: string;
  readonly pathPrefix: string;
  /** The operators' timeout for one call, in milliseconds. */
  readonly timeoutMs: number;
}

/** The part of the operators' configuration that this system uses. */
export interface ClusterConfig {
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  /** The names of all configured pools of workers. */
  readonly pools: ReadonlySet<string>;
  readonly maxBodyBytes: number;
}
