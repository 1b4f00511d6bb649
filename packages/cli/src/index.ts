export { COMMANDS, EXIT_CODES, runCli } from './internal/run-cli.js';
export { AdminClient } from './internal/admin-client.js';
export { formatEvent, mergedEvents, sortEvents } from './internal/time-line.js';
export { publish } from './internal/publish-manifest.js';
export { Output } from './internal/output.js';
export type { OutputTarget } from './internal/output.js';
export { readManifestFile } from './internal/read-manifest-file.js';
export { diffManifests, foreseeChanges, foreseeQuotas } from './internal/manifest-diff.js';
export type { DiffLine } from './internal/manifest-diff.js';
