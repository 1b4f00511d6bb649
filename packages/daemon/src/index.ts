export { NODE_OPTIONS, describeLoaded, loadSettings, readSettings } from './internal/settings.js';
export type { LoadedSettings, Settings, PeerSetting } from './internal/settings.js';
export { NodeProcess } from './internal/node-process.js';
export type { PeerRouter } from './internal/peer-router.js';
