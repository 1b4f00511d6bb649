import { randomUUID } from 'node:crypto';
import type {
  CheckpointMessage,
  RenewMessage,
  StartMessage,
  StopMessage,
  TaskReport,
  WorkerReport,
  WorkerTaskState,
} from '@redwingcrank/protocol';
import type { JsonAnswer, JsonHandler } from '@redwingcrank/ports';
import type { Degradation } from './fake-endpoint.js';
import { FakeEndpoint } from './fake-endpoint.js';

export interface FakeWorkerOptions {
  readonly hostId: string;
  readonly ip: string;
  /** Run time of a job's task, in milliseconds. */
  readonly jobMs: number;
  /** Mean service time of an endpoint, in milliseconds. */
  readonly serviceMs: number;
  /** Age of reported usage, in milliseconds. */
  readonly usageLagMs: number;
}

/** State of an attempt that was started on this worker; kept after the attempt ends. */
interface AttemptEntry {
  readonly message: StartMessage;
  state: WorkerTaskState;
  endpoint?: FakeEndpoint;
  address?: string;
  checkpoint?: string;
  lostMs?: number;
  /** End of the lease on this worker's monotonic clock, in milliseconds. */
  leaseEnd: number;
  /** Work done at the newest checkpoint or, without one, at the start of the attempt, in ms. */
  savedMs: number;
  readonly startedAt: number;
  leaseTimer?: NodeJS.Timeout;
  jobTimer?: NodeJS.Timeout;
}

/** Record of one execution of an attempt; times are wall-clock milliseconds. */
export interface Execution {
  readonly taskId: string;
  readonly attempt: number;
  readonly hostId: string;
  readonly startedAt: number;
  endedAt?: number;
  outcome?: WorkerTaskState;
  readonly resumedFrom?: string | undefined;
  /** Work contained in the checkpoint that the execution resumed from, in milliseconds. */
  readonly resumedMs: number;
  /** The newest checkpoint at the end of the execution. */
  leftCheckpoint?: string | undefined;
}

const keyOf = (ref: StopMessage): string => `${ref.taskId}#${ref.attempt}`;

/** A worker that implements leases and stop requests, but no terms or fencing tokens. */
export class FakeWorker {
  readonly #options: FakeWorkerOptions;

  readonly #incarnation = randomUUID();

  readonly #attempts = new Map<string, AttemptEntry>();

  /** Attempts whose stop request arrived before their start request; they never start. */
  readonly #tombstones = new Map<string, TaskReport>();

  readonly #history: Execution[] = [];

  constructor(options: FakeWorkerOptions) {
    this.#options = options;
  }

  readonly handler: JsonHandler = async (req): Promise<JsonAnswer> => {
    switch (req.url.pathname) {
      case '/report':
        break;
      case '/start':
        await this.#start(req.body as StartMessage);
        break;
      case '/renew':
        this.#renew(req.body as RenewMessage);
        break;
      case '/stop':
        this.#stop(req.body as StopMessage);
        break;
      case '/checkpoint':
        this.#checkpoint(req.body as CheckpointMessage);
        break;
      case '/throttle':
        break;
      default:
        return { status: 404, body: { error: 'no such path' } };
    }
    return { status: 200, body: this.report() };
  };

  report(): WorkerReport {
    return {
      hostId: this.#options.hostId,
      incarnation: this.#incarnation,
      heartbeat: performance.now(),
      orphans: false,
      tasks: [...[...this.#attempts.values()].map(reportOf), ...this.#tombstones.values()],
      usage: this.#usage(),
    };
  }

  /** Stops all attempts, as the failure of the host would. */
  kill(): void {
    for (const entry of this.#attempts.values()) this.#end(entry, 'stopped');
  }

  /** Makes every endpoint of this worker slow or silent. */
  degrade(degradation: Degradation): void {
    for (const { endpoint } of this.#attempts.values()) {
      if (endpoint) endpoint.degradation = degradation;
    }
  }

  /** Returns the highest number of simultaneous connections of any endpoint of this worker. */
  maxConnections(): number {
    const counts = [...this.#attempts.values()].map((r) => r.endpoint?.maxConnections ?? 0);
    return Math.max(0, ...counts);
  }

  /** Returns the executions on this worker in the order of their starts. */
  history(): readonly Execution[] {
    return this.#history;
  }

  /** Returns the number of runs of each request on the endpoints of this worker. */
  runs(): Record<string, number> {
    const total: Record<string, number> = {};
    for (const { endpoint } of this.#attempts.values()) {
      for (const [key, count] of endpoint?.runs ?? []) total[key] = (total[key] ?? 0) + count;
    }
    return total;
  }

  #usage(): WorkerReport['usage'] {
    return [...this.#attempts.values()]
      .filter((entry) => entry.state === 'running')
      .map(({ message }) => ({
        taskId: message.taskId,
        attempt: message.attempt,
        cpu: message.resources.cpu,
        memoryMb: message.resources.memoryMb,
        ageMs: this.#options.usageLagMs,
      }));
  }

  async #start(message: StartMessage): Promise<void> {
    const key = keyOf(message);
    if (this.#tombstones.has(key)) return;
    const existing = this.#attempts.get(key);
    if (existing) {
      if (message.incarnation === this.#incarnation) {
        this.#extend(existing, message.heartbeat, message.leaseMs);
      }
      return;
    }
    // Refuses a start request that was in flight for longer than its lease or across a restart of
    // this worker: the task may already be running elsewhere.
    const leaseEnd = message.heartbeat + message.leaseMs;
    if (message.incarnation !== this.#incarnation || leaseEnd <= performance.now()) return;
    const savedMs = progressOf(message.checkpoint);
    const startedAt = performance.now();
    const entry: AttemptEntry = { message, state: 'running', leaseEnd, savedMs, startedAt };
    this.#attempts.set(key, entry);
    this.#record(message, savedMs);
    this.#extend(entry, message.heartbeat, message.leaseMs);
    if (message.kind === 'service') await this.#openEndpoint(entry);
    else this.#runJob(entry);
  }

  async #openEndpoint(entry: AttemptEntry): Promise<void> {
    const { ip, serviceMs } = this.#options;
    const { slots = 8, connections = 64 } = entry.message;
    const endpoint = new FakeEndpoint({ ip, slots, connections, serviceMs });
    Object.assign(entry, { endpoint, address: await endpoint.listen() });
  }

  #runJob(entry: AttemptEntry): void {
    const remainingMs = Math.max(0, this.#options.jobMs - entry.savedMs);
    const timer = setTimeout(() => this.#end(entry, 'completed'), remainingMs);
    Object.assign(entry, { jobTimer: timer });
  }

  #record({ taskId, attempt, checkpoint }: StartMessage, resumedMs: number): void {
    const { hostId } = this.#options;
    const startedAt = Date.now();
    const resumedFrom = checkpoint;
    this.#history.push({ taskId, attempt, hostId, startedAt, resumedFrom, resumedMs });
  }

  #renew(message: RenewMessage): void {
    if (message.incarnation !== this.#incarnation) return;
    for (const ref of message.attempts) {
      const entry = this.#attempts.get(keyOf(ref));
      if (entry) this.#extend(entry, message.heartbeat, message.leaseMs);
    }
  }

  /**
   * Extends the lease. The lease counts from the heartbeat, so a delayed message extends it by
   * less or not at all.
   */
  #extend(entry: AttemptEntry, heartbeat: number, leaseMs: number): void {
    if (entry.state !== 'running') return;
    // An older message that arrives after a newer one must not shorten the lease.
    Object.assign(entry, { leaseEnd: Math.max(entry.leaseEnd, heartbeat + leaseMs) });
    const remainingMs = entry.leaseEnd - performance.now();
    clearTimeout(entry.leaseTimer);
    const timer = setTimeout(() => this.#end(entry, 'lapsed'), Math.max(0, remainingMs));
    Object.assign(entry, { leaseTimer: timer });
  }

  #stop(message: StopMessage): void {
    const entry = this.#attempts.get(keyOf(message));
    const { taskId, attempt } = message;
    if (entry) this.#end(entry, 'stopped');
    else this.#tombstones.set(keyOf(message), { taskId, attempt, state: 'stopped' });
  }

  #checkpoint(message: CheckpointMessage): void {
    const entry = this.#attempts.get(keyOf(message));
    if (entry?.state !== 'running') return;
    const savedMs = workedMs(entry);
    // The stand-in stores no files: the name of a checkpoint encodes the work done.
    Object.assign(entry, { savedMs, checkpoint: `${randomUUID()}@${Math.round(savedMs)}` });
  }

  #end(entry: AttemptEntry, state: WorkerTaskState): void {
    if (entry.state !== 'running') return;
    const lostMs = workedMs(entry) - entry.savedMs;
    Object.assign(entry, { state, lostMs: state === 'completed' ? 0 : lostMs });
    const { taskId, attempt } = entry.message;
    const execution = this.#history.find((e) => e.taskId === taskId && e.attempt === attempt);
    const leftCheckpoint = entry.checkpoint;
    if (execution)
      Object.assign(execution, { endedAt: Date.now(), outcome: state, leftCheckpoint });
    clearTimeout(entry.leaseTimer);
    clearTimeout(entry.jobTimer);
    entry.endpoint?.close();
  }
}

/** Returns the work done by the attempt and the earlier attempts it resumed, in milliseconds. */
function workedMs({ message, startedAt }: AttemptEntry): number {
  return progressOf(message.checkpoint) + performance.now() - startedAt;
}

function progressOf(checkpoint: string | undefined): number {
  return Number(checkpoint?.split('@')[1] ?? 0);
}

function reportOf(entry: AttemptEntry): TaskReport {
  const { taskId, attempt } = entry.message;
  return {
    taskId,
    attempt,
    state: entry.state,
    ...(entry.address !== undefined && { endpoint: entry.address }),
    ...(entry.checkpoint !== undefined && { checkpoint: entry.checkpoint }),
    ...(entry.lostMs !== undefined && { lostMs: entry.lostMs }),
  };
}
