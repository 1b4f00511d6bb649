export * from './keyed-log.js';
export * from './task-workers.js';
export * from './cluster-config.js';
export * from './platform-port.js';
export * from './node-settings.js';
export * from './node-log.js';
export * from './job-service.js';
export * from './node.js';
