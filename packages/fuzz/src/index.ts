export { Coverage } from './coverage.js';
export { FuzzTarget } from './fuzz-target.js';
export { runTarget } from './run-target.js';
export type { FuzzRun, FuzzSettings } from './run-target.js';
export { TARGETS } from './targets/index.js';
