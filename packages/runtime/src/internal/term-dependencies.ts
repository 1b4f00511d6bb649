import type { NodeLog } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import type { PlatformPort } from '../platform-port.js';
import type { ConfigWatch } from './config-watch.js';
import type { FaultLog } from './fault-log.js';
import type { Watchers } from './watchers.js';
import type { WorkFollower } from './work-follower.js';
import type { WorkTable } from './work-table.js';

/** What a term works with: the node that it is of, and what that knows. */
export interface TermDependencies {
  readonly port: PlatformPort;
  readonly settings: NodeSettings;
  readonly log: NodeLog;
  readonly table: WorkTable;
  /** What keeps the table up to date. */
  readonly work: Pick<WorkFollower, 'jobsCompleteAsOfMs'>;
  readonly config: ConfigWatch;
  readonly faults?: FaultLog;
  /** Who watches this process. */
  readonly watchers?: Pick<Watchers, 'standby'>;
}
