import type {
  RenewMessage,
  StartMessage,
  StopMessage,
  TaskReport,
  WorkerReport,
  WorkerTaskState,
} from '@redwingcrank/protocol';
import type { VirtualTime } from './virtual-time.js';

/** One attempt that the worker executes or has executed. */
export interface Execution {
  readonly message: StartMessage;
  readonly startedAt: number;
  /** The lease's end on the worker's clock. */
  leaseEnd: number;
  state: WorkerTaskState;
  checkpoint: string | undefined;
}

const keyOf = ({ taskId, attempt }: StopMessage): string => `${taskId}#${attempt}`;

export interface WorkerEvents {
  /** Called before an execution starts. */
  onStart(worker: ModelWorker, message: StartMessage): void;
  onLeaseExpired(): void;
}

/** Models a worker with its own clock, leases and stop orders; a restart clears its memory. */
export class ModelWorker {
  readonly hostId: string;

  readonly #time: VirtualTime;

  readonly #events: WorkerEvents;

  /** The rate of the worker's clock relative to true time. */
  readonly #rate: number;

  readonly #jobMs: number;

  #generation = 0;

  #attempts = new Map<string, Execution>();

  #tombstones = new Map<string, TaskReport>();

  /** Running executions of earlier incarnations that the worker does not list in its reports. */
  #orphans: Execution[] = [];

  constructor(options: {
    hostId: string;
    time: VirtualTime;
    events: WorkerEvents;
    rate: number;
    jobMs: number;
  }) {
    this.hostId = options.hostId;
    this.#time = options.time;
    this.#events = options.events;
    this.#rate = options.rate;
    this.#jobMs = options.jobMs;
  }

  /** Returns the executions running now. */
  executing(): Execution[] {
    this.#expire();
    return [...this.#attempts.values(), ...this.#orphans].filter((e) => e.state === 'running');
  }

  report(): WorkerReport {
    this.#expire();
    return {
      hostId: this.hostId,
      incarnation: this.#incarnation,
      heartbeat: this.#clock(),
      orphans: this.#orphans.length > 0,
      tasks: [...[...this.#attempts.values()].map(reportOf), ...this.#tombstones.values()],
      usage: [],
    };
  }

  start(message: StartMessage): WorkerReport {
    this.#expire();
    const key = keyOf(message);
    const known = this.#attempts.get(key);
    const leaseEnd = message.heartbeat + message.leaseMs;
    const refused =
      this.#tombstones.has(key) ||
      message.incarnation !== this.#incarnation ||
      leaseEnd <= this.#clock();
    if (known) this.#extend(known, message);
    else if (!refused) {
      this.#events.onStart(this, message);
      const { checkpoint } = message;
      const startedAt = this.#time.now;
      this.#attempts.set(key, { message, startedAt, leaseEnd, state: 'running', checkpoint });
    }
    return this.report();
  }

  renew(message: RenewMessage): WorkerReport {
    this.#expire();
    for (const ref of message.attempts) {
      const known = this.#attempts.get(keyOf(ref));
      if (known) this.#extend(known, message);
    }
    return this.report();
  }

  checkpoint(ref: StopMessage): WorkerReport {
    this.#expire();
    const known = this.#attempts.get(keyOf(ref));
    if (known?.state === 'running') known.checkpoint = `${keyOf(ref)}@${this.#time.now}`;
    return this.report();
  }

  stop(ref: StopMessage): WorkerReport {
    this.#expire();
    const known = this.#attempts.get(keyOf(ref));
    if (known?.state === 'running') known.state = 'stopped';
    const { taskId, attempt } = ref;
    if (!known) this.#tombstones.set(keyOf(ref), { taskId, attempt, state: 'stopped' });
    return this.report();
  }

  /**
   * Restarts the worker; its tasks end, continue and are listed, or continue unlisted. Returns
   * whether tasks were running.
   */
  restart(tasks: 'die' | 'adopted' | 'orphaned'): boolean {
    const running = this.executing().filter((e) => !this.#orphans.includes(e));
    this.#generation += 1;
    this.#tombstones = new Map();
    this.#attempts = new Map();
    if (tasks === 'die') this.#orphans = [];
    if (tasks === 'adopted') {
      this.#attempts = new Map(running.map((e) => [keyOf(e.message), e]));
    }
    if (tasks === 'orphaned') this.#orphans.push(...running);
    return running.length > 0;
  }

  get #incarnation(): string {
    return `${this.hostId}-${this.#generation}`;
  }

  #clock(): number {
    return this.#time.now * this.#rate;
  }

  #extend(
    known: Execution,
    { incarnation, heartbeat, leaseMs }: StartMessage | RenewMessage,
  ): void {
    if (known.state !== 'running' || incarnation !== this.#incarnation) return;
    Object.assign(known, { leaseEnd: Math.max(known.leaseEnd, heartbeat + leaseMs) });
  }

  #expire(): void {
    for (const execution of [...this.#attempts.values(), ...this.#orphans]) {
      if (execution.state === 'running') this.#expireOne(execution);
    }
    this.#orphans = this.#orphans.filter((e) => e.state === 'running');
  }

  #expireOne(execution: Execution): void {
    const { message, startedAt, leaseEnd } = execution;
    const doneAt = message.kind === 'job' ? startedAt + this.#jobMs : Infinity;
    const expiresAt = leaseEnd / this.#rate;
    const { now } = this.#time;
    if (doneAt <= now && doneAt <= expiresAt) Object.assign(execution, { state: 'completed' });
    else if (expiresAt <= now) {
      Object.assign(execution, { state: 'lapsed' });
      this.#events.onLeaseExpired();
    }
  }
}

function reportOf({ message, state, checkpoint }: Execution): TaskReport {
  const { taskId, attempt, kind } = message;
  const endpoint = kind === 'service' ? '127.0.0.1:1' : undefined;
  return { taskId, attempt, state, endpoint, checkpoint };
}
