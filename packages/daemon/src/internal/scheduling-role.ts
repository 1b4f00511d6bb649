import { auditTime, merge } from 'rxjs';
import type { NodeState, TaskExplanation, Unplaced } from '@redwingcrank/decisions';
import { ColocationFit, ControlNode, SchedulingMemory, rendezvous } from '@redwingcrank/decisions';
import { HttpWorkerClient } from '@redwingcrank/ports';
import { LeaseKeeper } from './lease-keeper.js';
import type { NodeContext } from './node-context.js';
import { SchedulerTask } from './scheduler-task.js';
import { registerSchedulingMetrics } from './scheduling-metrics.js';
import { Throttler } from './throttler.js';

/** Changes within this time lead to one pass: decisions go to the log in batches. */
const PASS_DELAY_MS = 50;

/**
 * The role `scheduler`: decides for the data centre while it holds the term, and keeps the leases
 * of its share of the workers.
 *
 * Lifecycle: construct, `start`, `finish`, `stop`.
 */
export class SchedulingRole {
  readonly #ctx: NodeContext;

  readonly #state: () => NodeState;

  /** This node's part in deciding for its data centre. */
  readonly #decider: ControlNode;

  readonly #memory = new SchedulingMemory();

  readonly #keeper: LeaseKeeper;

  readonly #scheduler: SchedulerTask;

  /** @param state - Where the node is in its life. */
  constructor(ctx: NodeContext, state: () => NodeState) {
    this.#ctx = ctx;
    this.#state = state;
    this.#decider = this.#makeDecider();
    this.#keeper = this.#makeKeeper();
    this.#scheduler = this.#makeScheduler();
    registerSchedulingMetrics(ctx.registry, this.#decider);
  }

  get holds(): boolean {
    return this.#scheduler.holds;
  }

  /** What the last pass could not place. */
  get unplaced(): readonly Unplaced[] {
    return this.#scheduler.unplaced;
  }

  /** Whether this node may act on workers. */
  get tending(): boolean {
    return this.#decider.tending(performance.now());
  }

  /** Hosts whose workers did not answer this node lately. */
  get unreachable(): readonly string[] {
    return [...this.#keeper.unreachable];
  }

  /** Why a task runs where it runs or does not run; undefined where nothing names it. */
  explain(taskId: string): TaskExplanation | undefined {
    return this.#scheduler.explain(taskId);
  }

  /** Waits for an append that is under way. */
  finish(): Promise<void> {
    return this.#scheduler.finish();
  }

  stop(): void {
    this.#scheduler.stop();
    this.#keeper.stop();
  }

  #makeDecider(): ControlNode {
    const { nodeId, dataCentre, leaseMs, staleMs } = this.#ctx.settings;
    const decider = new ControlNode({
      fold: this.#ctx.control.fold,
      nodeId,
      incarnation: this.#ctx.incarnation,
      dataCentre,
      timing: { leaseMs, staleMs },
      startedAt: performance.now(),
    });
    this.#ctx.control.folded$.subscribe((result) => decider.onFolded(result, performance.now()));
    this.#ctx.control.restored$.subscribe(() => decider.onRestored(performance.now()));
    this.#ctx.control.readToEnd$.subscribe((startedAt) => decider.onReadToEnd(startedAt));
    this.#ctx.peers.hellos$.subscribe((hello) => {
      // Offsets of another data centre's stream promise nothing here.
      if (hello.dataCentre === dataCentre) decider.onHello({ ...hello, at: performance.now() });
    });
    return decider;
  }

  #makeKeeper(): LeaseKeeper {
    const { platformTimeoutMs, leaseMs } = this.#ctx.settings;
    return new LeaseKeeper({
      control: this.#decider,
      workers: new HttpWorkerClient(platformTimeoutMs),
      events: this.#ctx.events,
      leaseMs,
      manifest: () => this.#ctx.manifest.manifest$.value,
      // What this node lacks may have ended or moved an attempt that it would start.
      responsible: (hostId) =>
        this.#ctx.control.complete && this.#keeperOf(hostId) === this.#ctx.settings.nodeId,
    });
  }

  /** The node that looks after a host: one that can reach it and may renew, where there is one. */
  #keeperOf(hostId: string): string | undefined {
    const schedulers = this.#schedulers();
    const { nodeId } = this.#ctx.settings;
    const self = { nodeId, tending: this.tending, unreachable: this.unreachable };
    const able = [self, ...this.#ctx.peers.alive()]
      .filter((node) => node.tending && !node.unreachable.includes(hostId))
      .map((node) => node.nodeId)
      .filter((id) => schedulers.includes(id));
    return rendezvous(hostId, able.length > 0 ? able : schedulers);
  }

  /** The scheduler nodes of this data centre that are alive, this one included unless it drains. */
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
      control: this.#decider,
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
    // On half a state a holder would start anew what already ran.
    if (this.#state() !== 'ready' || !this.#ctx.control.complete) return false;
    const schedulers = this.#schedulers();
    const holderNode = this.#ctx.control.fold.holder?.split('/')[0];
    const holderAlive =
      holderNode !== undefined &&
      holderNode !== this.#ctx.settings.nodeId &&
      schedulers.includes(holderNode);
    // One candidate at a time keeps races rare; that they are harmless is up to the fold.
    return !holderAlive && schedulers.sort()[0] === this.#ctx.settings.nodeId;
  }

  start(): void {
    const { nodeId, helloMs } = this.#ctx.settings;
    this.#scheduler.start();
    this.#keeper.reports$.subscribe((asked) => {
      this.#scheduler.post({ type: 'report', asked });
      const holder = this.#ctx.control.fold.holder?.split('/')[0];
      if (holder !== undefined && holder !== nodeId) this.#ctx.peers.sendReport(holder, asked);
    });
    this.#ctx.peers.workerReports$.subscribe((asked) => {
      this.#scheduler.post({ type: 'report', asked });
    });
    merge(this.#keeper.reports$, this.#ctx.peers.workerReports$)
      .pipe(auditTime(PASS_DELAY_MS))
      .subscribe(() => this.#scheduler.post({ type: 'pass' }));
    merge(this.#ctx.control.changed$, this.#ctx.manifest.manifest$, this.#ctx.hostList.hosts$)
      .pipe(auditTime(PASS_DELAY_MS))
      .subscribe(() => {
        this.#scheduler.post({ type: 'pass' });
        this.#keeper.reconcileChanged();
      });
    // A holder that shuts down says so: another one takes over at once.
    this.#ctx.peers.hellos$.subscribe((hello) => {
      if (hello.draining) this.#scheduler.post({ type: 'pass' });
    });
    // A silent peer changes nothing by itself: the clock has to ask whether to claim.
    setInterval(() => this.#scheduler.post({ type: 'pass' }), helloMs).unref();
    this.#keeper.start();
  }
}
