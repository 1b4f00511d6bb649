import type { WorkerEntry } from '@redwingcrank/jobs';
import type { ClusterConfig } from './cluster-config.js';
import type { KeyedLog, KeyedRecord } from './keyed-log.js';
import type { PeerPort } from './peer-port.js';
import type { Decoded } from './record-fault.js';
import type { TaskWorkers } from './task-workers.js';

/** What the platform gives a node, in this project's words. */
export interface PlatformPort {
  /** Who schedules, and how far jobs are: what the scheduling node writes. */
  readonly workLog: KeyedLog;
  /**
   * Jobs and their cancels: what callers ask for. Its appends must not wait for those of `workLog`,
   * nor those for them.
   */
  readonly jobLog: KeyedLog;
  /** What workers say of themselves. */
  readonly workerLog: KeyedLog;
  /** What operators write. */
  readonly operatorLog: KeyedLog;
  readonly workers: TaskWorkers;
  /** Other processes of this system; absent where they meet in the store alone. */
  readonly peers?: PeerPort;

  /** The id of the worker whose entry this record is; undefined for other records. */
  workerIdOf(rec: KeyedRecord): string | undefined;

  /** The worker whose entry this record is, or why it names none to use. */
  decodeWorker(rec: KeyedRecord): Decoded<WorkerEntry>;

  /** Undefined for a record that is not the configuration. */
  decodeConfig(rec: KeyedRecord): Decoded<ClusterConfig> | undefined;
}
