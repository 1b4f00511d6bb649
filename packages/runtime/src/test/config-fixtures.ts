import { WORKER_ENTRY } from './fixtures.js';

/** A queue for the pool of `WORKER_ENTRY`. */
const QUEUE = {
  name: 'q',
  pool: WORKER_ENTRY.pool,
  priority: 0,
  maxAttempts: 3,
  stretch: 1,
  targetLatencyMs: 0,
  host: 'h',
  pathPrefix: '/',
  timeoutMs: 1_000,
};

/** The configuration of the operators: one queue and its pool. */
export const CONFIG = {
  version: 1,
  queues: [QUEUE],
  pools: new Set([QUEUE.pool]),
  maxBodyBytes: 1_000,
};
