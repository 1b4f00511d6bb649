import type { NodeLog } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import type { PlatformPort } from '../platform-port.js';
import type { ConfigWatch } from './config-watch.js';
import type { FaultLog } from './fault-log.js';
import type { Watchers } from './watchers.js';
import type { WorkFollower } from './work-follower.js';
import type { WorkTable } from './work-table.js';

/** The dependencies of a term: the node that it runs on and the state of that node. */
export interface TermDependencies {
  readonly port: PlatformPort;
  readonly settings: NodeSettings;
  readonly log: NodeLog;
  readonly table: WorkTable;
  /** The follower that keeps the table up to date. */
  readonly work: Pick<WorkFollower, 'jobsCompleteAsOfMs'>;
  readonly config: ConfigWatch;
  readonly faults?: FaultLog;
  /** The processes that watch this one. */
  readonly watchers?: Pick<Watchers, 'standby' | 'links' | 'nodeCount'>;
}
