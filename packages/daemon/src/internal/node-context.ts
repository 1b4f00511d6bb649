import type { Registry } from 'prom-client';
import type { PlatformLog } from '@redwingcrank/ports';
import type { ControlTask } from './control-task.js';
import type { EventLog } from './event-log.js';
import type { HostListTask } from './host-list-task.js';
import type { ManifestTask } from './manifest-task.js';
import type { PeerTask } from './peer-task.js';
import type { Settings } from './settings.js';

/** The settings and tasks that both roles of a node share. */
export interface NodeContext {
  readonly settings: Settings;
  /** Unique id of this process; it changes with each start. */
  readonly incarnation: string;
  readonly log: PlatformLog;
  readonly events: EventLog;
  readonly registry: Registry;
  readonly manifest: ManifestTask;
  /** The control stream of this node's own data centre. */
  readonly control: ControlTask;
  readonly hostList: HostListTask;
  readonly peers: PeerTask;
}
