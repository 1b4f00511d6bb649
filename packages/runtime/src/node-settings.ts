/** What a node is told when it starts, whatever form its settings have. */
export interface NodeSettings {
  readonly node: string;
  readonly dataCentre: string;
  /** Its processor time, in cores; undefined where the platform does not tell. */
  readonly cores: number | undefined;
  /** The longest lease that a worker grants, in milliseconds. */
  readonly maxLeaseMs: number;
  /** How long a stop may take, in milliseconds. */
  readonly stopTimeoutMs: number;
  /** So long after a worker has said that it leaves a task may still begin there, in milliseconds. */
  readonly drainMs: number;
  /** So long after a job's cancel is confirmed one of its tasks may still begin, in milliseconds. */
  readonly cancelMs: number;
  /** So long after operators have changed the configuration every node goes by it, in milliseconds. */
  readonly configApplyMs: number;
  /** How long a job's final state must be known, in milliseconds. */
  readonly keepStateMs: number;
  /** After SIGTERM the process is killed when this is over, in milliseconds. */
  readonly graceMs: number;
}
