/**
 * What is safe about leases and starts, and what is told of them between scheduling nodes, apart from
 * sockets: for models that check it.
 */
export * from './internal/former-leases.js';
export * from './internal/start-views.js';
export * from './internal/term-leases.js';
export * from './internal/timing.js';
export type { LeaderRecord } from './internal/work-records.js';
