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
  /** Returns whether this node is responsible for a host at present. */
  readonly responsible: (hostId: string) => boolean;
}

/** Rounds per lease duration; two rounds may fail without a task being lost. */
const ROUNDS_PER_LEASE = 5;

type Call = () => Promise<WorkerReport>;

/**
 * Reconciles workers with the control stream: starts bound attempts, renews running ones and stops
 * revoked ones. It acts on the fold alone, so a decision takes effect only after it was read back
 * from the log. Every command is idempotent, so two nodes may send the same one.
 */
export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;

  readonly #busy = new Set<string>();

  readonly #unreachable = new Set<string>();

  #stopped = false;

  /** The reports of workers, unchanged. */
  readonly reports$ = new Subject<PolledReport>();

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
  }

  /** The hosts whose workers did not answer this node's last call. */
  get unreachable(): ReadonlySet<string> {
    return this.#unreachable;
  }

  async start(): Promise<void> {
    while (!this.#stopped) {
      this.#reconcileHosts(() => true);
      await sleep(this.#options.leaseMs / ROUNDS_PER_LEASE);
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Reconciles at once the hosts that have an attempt to start or stop, and those whose worker has
   * never reported: nothing is started there before its first report.
   */
  reconcileChanged(): void {
    const { tasks } = this.#options.control.fold;
    const isPending = (taskId: string): boolean => {
      const state = tasks.get(taskId)?.state;
      return state === 'bound' || state === 'revoked';
    };
    this.#reconcileHosts(
      (host) => host.incarnation === undefined || [...host.tasks].some(isPending),
    );
  }

  #reconcileHosts(selects: (host: HostState) => boolean): void {
    for (const host of this.#options.control.fold.hosts.values()) {
      const inUse = host.state !== 'gone' || host.tasks.size > 0;
      if (inUse && selects(host) && this.#isResponsible(host.hostId)) this.#reconcile(host);
    }
  }

  /** Another node becomes responsible for a silent host, but this node keeps trying it as well. */
  #isResponsible(hostId: string): boolean {
    return this.#unreachable.has(hostId) || this.#options.responsible(hostId);
  }

  async #reconcile(host: HostState): Promise<void> {
    // A worker that answers slowly must not get another call before it has answered.
    if (this.#busy.has(host.hostId)) return;
    this.#busy.add(host.hostId);
    try {
      const report = await this.#callWorker(() => this.#options.workers.report(host.address));
      // Commands are chosen after the report has arrived, so its heartbeat is older than the fold.
      const commands = [...this.#options.control.commandsFor(report, performance.now())];
      for (const call of this.#callsFor(host, report, commands)) await this.#callWorker(call);
      this.#unreachable.delete(host.hostId);
    } catch (err) {
      this.#unreachable.add(host.hostId);
      const reason = err instanceof Error ? err.message : String(err);
      this.#options.events.emit('warn', 'worker-unavailable', { host: host.hostId, reason });
    } finally {
      this.#busy.delete(host.hostId);
    }
  }

  async #callWorker(call: Call): Promise<WorkerReport> {
    // Read before the call: the report shows the worker as it was after this record.
    const askedOffset = this.#options.control.fold.offset;
    const report = await call();
    this.reports$.next({ askedOffset, report });
    return report;
  }

  /** Yields the calls to a worker, renewals first, because stops and starts may take long. */
  *#callsFor(
    host: HostState,
    report: WorkerReport,
    commands: readonly WorkerCommand[],
  ): Generator<Call> {
    const { workers, leaseMs } = this.#options;
    const { address } = host;
    const { heartbeat, incarnation } = report;
    const attempts = commands
      .filter(({ type }) => type === 'renew')
      .map(({ task: { taskId, attempt } }) => ({ taskId, attempt }));
    if (attempts.length > 0) {
      yield () => workers.renew(address, { incarnation, heartbeat, leaseMs, attempts });
    }
    for (const { type, task } of commands) {
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
