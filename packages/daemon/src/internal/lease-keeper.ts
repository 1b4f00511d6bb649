import { Subject } from 'rxjs';
import type { PolledReport, Manifest, WorkerReport } from '@redwingcrank/protocol';
import type { WorkerClient } from '@redwingcrank/ports';
import type { ControlNode, HostState, WorkerCommand } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';
import { sleep } from './sleep.js';

export interface LeaseKeeperOptions {
  readonly control: ControlNode;
  readonly workers: WorkerClient;
  readonly events: EventLog;
  readonly leaseMs: number;
  readonly manifest: () => Manifest | undefined;
  /** Whether this node looks after a host at present. */
  readonly responsible: (hostId: string) => boolean;
}

/** So many rounds fit into a lease: two may fail without a task being lost. */
const ROUNDS_PER_LEASE = 5;

type Call = () => Promise<WorkerReport>;

/**
 * Brings workers to what the control stream says: starts what is bound, renews what runs, stops
 * what is revoked. It acts on the fold alone, so a decision takes effect only after it was read
 * back from the log. Every act is idempotent, so two nodes that do the same do no harm.
 */
export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;

  readonly #busy = new Set<string>();

  readonly #unreachable = new Set<string>();

  #stopped = false;

  /** Reports as workers gave them. */
  readonly reports$ = new Subject<PolledReport>();

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
  }

  /** The hosts whose workers did not answer this node the last time. */
  get unreachable(): ReadonlySet<string> {
    return this.#unreachable;
  }

  async start(): Promise<void> {
    while (!this.#stopped) {
      this.#tendAll(() => true);
      await sleep(this.#options.leaseMs / ROUNDS_PER_LEASE);
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Looks at once after the hosts on which something is to be started or stopped, and after those
   * whose worker was never heard: nothing starts there before.
   */
  reconcileChanged(): void {
    const { tasks } = this.#options.control.fold;
    const isOpen = (taskId: string): boolean => {
      const state = tasks.get(taskId)?.state;
      return state === 'bound' || state === 'revoked';
    };
    this.#tendAll((host) => host.incarnation === undefined || [...host.tasks].some(isOpen));
  }

  #tendAll(wanted: (host: HostState) => boolean): void {
    for (const host of this.#options.control.fold.hosts.values()) {
      const open = host.state !== 'gone' || host.tasks.size > 0;
      if (open && wanted(host) && this.#mine(host.hostId)) this.#tend(host);
    }
  }

  /** A host that does not answer is handed to another node, but is tried on. */
  #mine(hostId: string): boolean {
    return this.#unreachable.has(hostId) || this.#options.responsible(hostId);
  }

  async #tend(host: HostState): Promise<void> {
    // A worker that answers slowly must not be asked again meanwhile.
    if (this.#busy.has(host.hostId)) return;
    this.#busy.add(host.hostId);
    try {
      const report = await this.#ask(() => this.#options.workers.report(host.address));
      // Judged after the report has come: its heartbeat is older than what is known here.
      const acts = [...this.#options.control.commandsFor(report, performance.now())];
      for (const call of this.#calls(host, report, acts)) await this.#ask(call);
      this.#unreachable.delete(host.hostId);
    } catch (err) {
      this.#unreachable.add(host.hostId);
      const reason = err instanceof Error ? err.message : String(err);
      this.#options.events.emit('warn', 'worker-unavailable', { host: host.hostId, reason });
    } finally {
      this.#busy.delete(host.hostId);
    }
  }

  async #ask(call: Call): Promise<WorkerReport> {
    // Taken before the call: the answer shows the worker as it was after this record.
    const askedOffset = this.#options.control.fold.offset;
    const report = await call();
    this.reports$.next({ askedOffset, report });
    return report;
  }

  /** Renewals go first: what ends or starts may take its time. */
  *#calls(host: HostState, report: WorkerReport, acts: readonly WorkerCommand[]): Generator<Call> {
    const { workers, leaseMs } = this.#options;
    const { address } = host;
    const { heartbeat, incarnation } = report;
    const attempts = acts
      .filter(({ type }) => type === 'renew')
      .map(({ task: { taskId, attempt } }) => ({ taskId, attempt }));
    if (attempts.length > 0) {
      yield () => workers.renew(address, { incarnation, heartbeat, leaseMs, attempts });
    }
    for (const { type, task } of acts) {
      const ref = { taskId: task.taskId, attempt: task.attempt };
      if (type === 'checkpoint') yield () => workers.checkpoint(address, ref);
      if (type === 'stop') yield () => workers.stop(address, ref);
      if (type === 'start') yield () => this.#start(host, ref, report);
    }
  }

  #start(
    host: HostState,
    ref: { taskId: string; attempt: number },
    { heartbeat, incarnation }: WorkerReport,
  ): Promise<WorkerReport> {
    const { control, workers, leaseMs } = this.#options;
    const task = control.fold.tasks.get(ref.taskId);
    if (task?.attempt !== ref.attempt) return workers.report(host.address);
    const { kind, owner, resources, checkpoint } = task;
    const service = this.#options.manifest()?.services.find((s) => s.name === owner);
    const { slots, connections } = service ?? {};
    return workers.start(host.address, {
      ...ref,
      incarnation,
      heartbeat,
      leaseMs,
      kind,
      owner,
      resources,
      checkpoint,
      slots,
      connections,
    });
  }
}
