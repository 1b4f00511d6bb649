/**
 * The rules for safe leases and starts and the lease information that leaders pass on, without any
 * sockets. Exported for models that check these rules.
 */
export * from './internal/former-leases.js';
export * from './internal/silent-workers.js';
export * from './internal/start-views.js';
export * from './internal/term-leases.js';
export * from './internal/timing.js';
export type { LeaderRecord } from './internal/work-records.js';
