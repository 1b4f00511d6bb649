import type { WorkerEntry } from '@redwingcrank/jobs';
import type { AdvicePort } from './advice-port.js';
import type { ClusterConfig, EvacuationRecord } from './cluster-config.js';
import type { KeyedLog, KeyedRecord } from './keyed-log.js';
import type { WavePort } from './machine-port.js';
import type { PeerPort } from './peer-port.js';
import type { Decoded } from './record-fault.js';
import type { TaskWorkers } from './task-workers.js';

/** The interface of the platform to a node, in the terms of this project. */
export interface PlatformPort {
  /** The log that the leader writes: who is leader, and the progress of jobs. */
  readonly workLog: KeyedLog;
  /**
   * The log of jobs and their cancels, which callers request. Its appends must not wait for those
   * of `workLog`, nor vice versa.
   */
  readonly jobLog: KeyedLog;
  /** The log of the entries of workers, which they write themselves. */
  readonly workerLog: KeyedLog;
  /** The log that operators write. */
  readonly operatorLog: KeyedLog;
  readonly workers: TaskWorkers;
  /**
   * Connections to other processes of this system; absent if processes communicate only through the
   * store.
   */
  readonly peers?: PeerPort;
  /** The advice service; absent if the platform has none. */
  readonly advice?: AdvicePort;

  /** Waves of maintenance; absent if the platform has none. */
  readonly waves?: WavePort;

  /** Returns the id of the worker whose entry this record is; undefined for other records. */
  workerIdOf(rec: KeyedRecord): string | undefined;

  /** Decodes the entry of a worker, or returns why it cannot be used. */
  decodeWorker(rec: KeyedRecord): Decoded<WorkerEntry>;

  /** Decodes the configuration; returns undefined for other records. */
  decodeConfig(rec: KeyedRecord): Decoded<ClusterConfig> | undefined;

  /** Decodes the record that has a data centre evacuated; returns undefined for other records. */
  decodeEvacuation(rec: KeyedRecord): EvacuationRecord | undefined;
}
