export * from './job.js';
export * from './task-ref.js';
export * from './job-progress.js';
export * from './worker.js';
export * from './order.js';
export * from './scheduler.js';
export type { PlacementPolicy } from './internal/placement.js';
export type { InterferenceWeights } from './internal/interference-model.js';
export type { WorkerState } from './internal/worker-state.js';
