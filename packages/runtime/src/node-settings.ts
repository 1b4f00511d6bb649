/** The settings of a node, independent of the format that they were read from. */
export interface NodeSettings {
  readonly node: string;
  readonly dataCentre: string;
  /** The processor time of the node, in cores; undefined if the platform does not report it. */
  readonly cores: number | undefined;
  /** The longest lease that a worker grants, in milliseconds. */
  readonly maxLeaseMs: number;
  /** How many partitioned or failed data centres the system is to tolerate. */
  readonly toleratedDataCentres: number;
  /** How long a stop may take, in milliseconds. */
  readonly stopTimeoutMs: number;
  /**
   * How long after a worker has announced that it leaves a task may still start there, in
   * milliseconds.
   */
  readonly drainMs: number;
  /**
   * How long after a job's cancel is confirmed one of its tasks may still start, in milliseconds.
   */
  readonly cancelMs: number;
  /**
   * How long after operators had a data centre evacuated a task may still start there, in
   * milliseconds.
   */
  readonly evacuateMs: number;
  /** How long after a change of the configuration every node must apply it, in milliseconds. */
  readonly configApplyMs: number;
  /** How long the maintenance of a machine takes, in milliseconds. */
  readonly maintenanceMs: number;
  /**
   * How long after the last call of a node for the maintenance of a machine no other node may call,
   * in milliseconds.
   */
  readonly machineLeaseMs: number;
  /** How many calls for maintenance all nodes together may make in a second. */
  readonly machineCallsPerS: number;
  /** How many calls for the list of machines all nodes together may make in a second. */
  readonly machineReadsPerS: number;
  /** How many times as long a task takes on another rack than that of its data. */
  readonly remoteFactor: number;
  /** How long the final state of a job must be kept, in milliseconds. */
  readonly keepStateMs: number;
  /** Maximum size of a record of the store with its key, in bytes. */
  readonly maxRecordBytes: number;
  /** How long after SIGTERM the process is killed, in milliseconds. */
  readonly graceMs: number;
}
