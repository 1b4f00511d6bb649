import { auditTime, merge } from 'rxjs';
import type { NodeState, TaskExplanation, Unplaced } from '@redwingcrank/decisions';
import { ColocationFit, ControlNode, SchedulingMemory, rendezvous } from '@redwingcrank/decisions';
import { HttpWorkerClient } from '@redwingcrank/ports';
import { LeaseKeeper } from './lease-keeper.js';
import type { NodeContext } from './node-context.js';
import { SchedulerTask } from './scheduler-task.js';
import { registerSchedulingMetrics } from './scheduling-metrics.js';
import { Throttler } from './throttler.js';

/** Changes within this time trigger one pass, so that decisions are appended in batches. */
const PASS_DELAY_MS = 50;

/**
 * The role `scheduler`: decides for the data centre while it holds the term, and renews the leases
 * on its share of the workers.
 *
 * Lifecycle: construct, `start`, `finish`, `stop`.
 */
export class SchedulingRole {
  readonly #ctx: NodeContext;

  readonly #state: () => NodeState;

  /** This node's view of the control stream, and whether it may decide or act on workers. */
  readonly #controlNode: ControlNode;

  readonly #memory = new SchedulingMemory();

  readonly #leaseKeeper: LeaseKeeper;

  readonly #scheduler: SchedulerTask;

  /** @param state - Returns the state of the node. */
  constructor(ctx: NodeContext, state: () => NodeState) {
    this.#ctx = ctx;
    this.#state = state;
    this.#controlNode = this.#makeControlNode();
    this.#leaseKeeper = this.#makeLeaseKeeper();
    this.#scheduler = this.#makeScheduler();
    registerSchedulingMetrics(ctx.registry, this.#controlNode);
  }

  get holds(): boolean {
    return this.#scheduler.holds;
  }

  /** The tasks that the last pass could not place. */
  get unplaced(): readonly Unplaced[] {
    return this.#scheduler.unplaced;
  }

  /** Whether this node may send commands to workers. */
  get tending(): boolean {
    return this.#controlNode.tending(performance.now());
  }

  /** Hosts whose workers did not answer this node's last call. */
  get unreachable(): readonly string[] {
    return [...this.#leaseKeeper.unreachable];
  }

  /** Explains why a task runs on its host or does not run; undefined if the task is unknown. */
  explain(taskId: string): TaskExplanation | undefined {
    return this.#scheduler.explain(taskId);
  }

  /** Waits for an append in progress. */
  finish(): Promise<void> {
    return this.#scheduler.finish();
  }

  stop(): void {
    this.#scheduler.stop();
    this.#leaseKeeper.stop();
  }

  #makeControlNode(): ControlNode {
    const { nodeId, dataCentre, leaseMs, staleMs } = this.#ctx.settings;
    const controlNode = new ControlNode({
      fold: this.#ctx.control.fold,
      nodeId,
      incarnation: this.#ctx.incarnation,
      dataCentre,
      timing: { leaseMs, staleMs },
      startedAt: performance.now(),
    });
    this.#ctx.control.folded$.subscribe((result) =>
      controlNode.onFolded(result, performance.now()),
    );
    this.#ctx.control.restored$.subscribe(() => controlNode.onRestored(performance.now()));
    this.#ctx.control.readToEnd$.subscribe((startedAt) => controlNode.onReadToEnd(startedAt));
    this.#ctx.peers.hellos$.subscribe((hello) => {
      // Offsets of another data centre's stream acknowledge nothing in this one.
      if (hello.dataCentre === dataCentre) controlNode.onHello({ ...hello, at: performance.now() });
    });
    return controlNode;
  }

  #makeLeaseKeeper(): LeaseKeeper {
    const { platformTimeoutMs, leaseMs } = this.#ctx.settings;
    return new LeaseKeeper({
      control: this.#controlNode,
      workers: new HttpWorkerClient(platformTimeoutMs),
      events: this.#ctx.events,
      leaseMs,
      manifest: () => this.#ctx.manifest.manifest$.value,
      // A missing record may have ended or moved an attempt that this node would start.
      responsible: (hostId) =>
        this.#ctx.control.complete && this.#responsibleNodeOf(hostId) === this.#ctx.settings.nodeId,
    });
  }

  /** Returns the node responsible for a host: preferably one that may renew and reaches it. */
  #responsibleNodeOf(hostId: string): string | undefined {
    const schedulers = this.#schedulers();
    const { nodeId } = this.#ctx.settings;
    const self = { nodeId, tending: this.tending, unreachable: this.unreachable };
    const candidates = [self, ...this.#ctx.peers.alive()]
      .filter((node) => node.tending && !node.unreachable.includes(hostId))
      .map((node) => node.nodeId)
      .filter((id) => schedulers.includes(id));
    return rendezvous(hostId, candidates.length > 0 ? candidates : schedulers);
  }

  /** Returns the live scheduler nodes of this data centre, including this one unless it drains. */
  #schedulers(): string[] {
    const { nodeId, dataCentre, roles } = this.#ctx.settings;
    const peers = this.#ctx.peers
      .alive()
      .filter((peer) => peer.dataCentre === dataCentre && peer.roles.includes('scheduler'))
      .map((peer) => peer.nodeId);
    const self = roles.includes('scheduler') && this.#state() !== 'draining' ? [nodeId] : [];
    return [...self, ...peers];
  }

  #makeScheduler(): SchedulerTask {
    const { nodeId, dataCentre } = this.#ctx.settings;
    return new SchedulerTask({
      nodeId,
      incarnation: this.#ctx.incarnation,
      dataCentre,
      control: this.#controlNode,
      log: this.#ctx.log,
      events: this.#ctx.events,
      policy: new ColocationFit(this.#ctx.control.fold, this.#memory.colocation.model),
      memory: this.#memory,
      throttler: new Throttler({
        fold: this.#ctx.control.fold,
        colocation: this.#memory.colocation,
        workers: new HttpWorkerClient(this.#ctx.settings.platformTimeoutMs),
        events: this.#ctx.events,
      }),
      manifest: () => this.#ctx.manifest.manifest$.value,
      hosts: () => this.#ctx.hostList.hosts$.value,
      shouldClaim: () => this.#shouldClaim(),
    });
  }

  #shouldClaim(): boolean {
    // With an incomplete state a holder would start tasks again that already ran.
    if (this.#state() !== 'ready' || !this.#ctx.control.complete) return false;
    const schedulers = this.#schedulers();
    const holderNode = this.#ctx.control.fold.holder?.split('/')[0];
    const holderAlive =
      holderNode !== undefined &&
      holderNode !== this.#ctx.settings.nodeId &&
      schedulers.includes(holderNode);
    // A single candidate keeps races rare; the fold makes them harmless.
    return !holderAlive && schedulers.sort()[0] === this.#ctx.settings.nodeId;
  }

  start(): void {
    const { nodeId, helloMs } = this.#ctx.settings;
    this.#scheduler.start();
    this.#leaseKeeper.reports$.subscribe((polled) => {
      this.#scheduler.post({ type: 'report', polled });
      const holder = this.#ctx.control.fold.holder?.split('/')[0];
      if (holder !== undefined && holder !== nodeId) this.#ctx.peers.sendReport(holder, polled);
    });
    this.#ctx.peers.workerReports$.subscribe((polled) => {
      this.#scheduler.post({ type: 'report', polled });
    });
    merge(this.#leaseKeeper.reports$, this.#ctx.peers.workerReports$)
      .pipe(auditTime(PASS_DELAY_MS))
      .subscribe(() => this.#scheduler.post({ type: 'pass' }));
    merge(this.#ctx.control.changed$, this.#ctx.manifest.manifest$, this.#ctx.hostList.hosts$)
      .pipe(auditTime(PASS_DELAY_MS))
      .subscribe(() => {
        this.#scheduler.post({ type: 'pass' });
        this.#leaseKeeper.reconcileChanged();
      });
    // A holder announces that it shuts down, so that another node takes over at once.
    this.#ctx.peers.hellos$.subscribe((hello) => {
      if (hello.draining) this.#scheduler.post({ type: 'pass' });
    });
    // A silent peer triggers no event, so a timer checks whether to claim the term.
    setInterval(() => this.#scheduler.post({ type: 'pass' }), helloMs).unref();
    this.#leaseKeeper.start();
  }
}
