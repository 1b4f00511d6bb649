import type {
  PolledReport,
  ControlAction,
  ControlRecord,
  ListedHost,
  LogEntry,
  Manifest,
  WorkerReport,
} from '@redwingcrank/protocol';
import { BestFit, ControlFold, ControlNode } from '@redwingcrank/decisions';
import type { ReceivedHello, WorkerCommand } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';
import type { ModelLog } from './model-log.js';
import type { ModelWorker } from './model-worker.js';
import type { Network } from './network.js';
import type { VirtualTime } from './virtual-time.js';

export const TIMING = { leaseMs: 1000, staleMs: 2000 };

const POLL_MS = 120;
const POLL_TIMEOUT_MS = 600;
const HELLO_MS = 200;
const WORKER_POLL_MS = 250;
const DECIDE_MS = 200;
const APPEND_TIMEOUT_MS = 800;
const PEER_SILENCE_MS = 900;

/** The maximum delay between the check of a message and its sending, unless the node is paused. */
const MAX_SEND_DELAY_MS = 40;

export interface NodeWorld {
  readonly time: VirtualTime;
  readonly network: Network;
  readonly coverage: Coverage;
  readonly log: ModelLog;
  readonly workers: readonly ModelWorker[];
  readonly nodes: readonly ModelNode[];
  readonly manifest: Manifest;
  readonly listed: () => readonly ListedHost[];
}

/** Models a node process, which can be paused at any point and loses its memory in a crash. */
export class ModelNode {
  readonly nodeId: string;

  readonly #world: NodeWorld;

  readonly #rate: number;

  readonly #deferred: (() => void)[] = [];

  readonly #lastHelloAt = new Map<string, number>();

  #generation = 0;

  #control: ControlNode;

  #pausedUntil = 0;

  #pollSentAt: number | undefined;

  #appendSentAt: number | undefined;

  #awaitedOffset = -1;

  #records = 0;

  constructor(nodeId: string, rate: number, world: NodeWorld) {
    this.nodeId = nodeId;
    this.#world = world;
    this.#rate = rate;
    this.#control = this.#boot();
  }

  /** Freezes the process for `ms`; messages that arrive meanwhile are handled afterwards. */
  pause(ms: number): void {
    const { time, coverage } = this.#world;
    coverage.hit('node-paused');
    this.#pausedUntil = time.now + ms;
    time.after(ms, () => this.#wake());
  }

  /** Ends the process and restarts it without its memory. */
  crash(): void {
    this.#world.coverage.hit('node-crashed');
    this.#generation += 1;
    this.#deferred.length = 0;
    this.#pausedUntil = 0;
    this.#pollSentAt = undefined;
    this.#appendSentAt = undefined;
    this.#awaitedOffset = -1;
    this.#lastHelloAt.clear();
    this.#control = this.#boot();
  }

  /** Claims the next term of the data centre, whether or not it has a holder. */
  claimTerm(): void {
    this.#run(() => {
      const { fold } = this.#control;
      this.#append({
        type: 'claim',
        id: this.#id(),
        term: fold.term + 1,
        holder: this.#control.key,
      });
    });
  }

  #boot(): ControlNode {
    this.#every(POLL_MS, () => this.#poll());
    this.#every(HELLO_MS, () => this.#sendHellos());
    this.#every(WORKER_POLL_MS, () => this.#pollWorkers());
    this.#every(DECIDE_MS, () => this.#decide());
    return new ControlNode({
      fold: new ControlFold(),
      nodeId: this.nodeId,
      incarnation: String(this.#generation),
      dataCentre: 'dc1',
      timing: TIMING,
      startedAt: this.#clock(),
    });
  }

  #clock(): number {
    return this.#world.time.now * this.#rate;
  }

  #id(): string {
    this.#records += 1;
    return `${this.nodeId}-${this.#records}`;
  }

  #every(ms: number, run: () => void): void {
    const generation = this.#generation;
    const tick = (): void => {
      if (generation !== this.#generation) return;
      if (this.#world.time.now >= this.#pausedUntil) run();
      this.#world.time.after(ms, tick);
    };
    this.#world.time.after(this.#world.network.random.int(1, ms), tick);
  }

  /** Runs a step in this process: after a pause if paused, and never if the process crashes first. */
  #run(step: () => void, coveragePoint?: string): void {
    if (this.#world.time.now < this.#pausedUntil) {
      if (coveragePoint !== undefined) this.#world.coverage.hit(coveragePoint);
      this.#deferred.push(step);
    } else step();
  }

  /** Wraps the handler of an answer so that it does not run after the waiting process has ended. */
  #answer<T extends unknown[]>(handle: (...args: T) => void): (...args: T) => void {
    const generation = this.#generation;
    return (...args) => {
      if (generation === this.#generation) this.#run(() => handle(...args));
    };
  }

  #wake(): void {
    if (this.#world.time.now < this.#pausedUntil) return;
    this.#deferred.splice(0).forEach((step) => step());
  }

  #poll(): void {
    const now = this.#clock();
    if (this.#pollSentAt !== undefined && now - this.#pollSentAt < POLL_TIMEOUT_MS) return;
    this.#pollSentAt = now;
    const from = this.#control.fold.offset + 1;
    const handle = (entries: LogEntry[], atEnd: boolean): void => {
      if (this.#pollSentAt === now) this.#pollSentAt = undefined;
      if (from !== this.#control.fold.offset + 1) return;
      for (const { offset, value } of entries) {
        this.#control.onFolded(this.#control.fold.apply(offset, value), this.#clock());
      }
      if (atEnd) this.#control.onReadToEnd(now);
    };
    this.#world.log.read(this.nodeId, from, this.#answer(handle));
  }

  #sendHellos(): void {
    const { nodes, network } = this.#world;
    for (const peer of nodes) {
      if (peer !== this) {
        const incarnation = String(this.#generation);
        const controlOffset = this.#control.fold.offset;
        const hello = { nodeId: this.nodeId, incarnation, controlOffset };
        network.send(this.nodeId, peer.nodeId, () => peer.#run(() => peer.#receiveHello(hello)));
      }
    }
  }

  #receiveHello(hello: Omit<ReceivedHello, 'at'>): void {
    const at = this.#clock();
    this.#lastHelloAt.set(hello.nodeId, at);
    this.#control.onHello({ ...hello, at });
  }

  #pollWorkers(): void {
    const { workers, network } = this.#world;
    for (const worker of workers) {
      // All nodes poll all hosts at random, although one node per host would suffice, to provoke races.
      if (network.random.int(0, 1) === 1) {
        const handleReport = (report: WorkerReport, askedOffset: number): void => {
          this.#reported({ askedOffset, report });
          const commands = [...this.#control.commandsFor(report, this.#clock())];
          const generation = this.#generation;
          this.#world.time.after(network.random.int(0, MAX_SEND_DELAY_MS), () => {
            if (generation !== this.#generation || commands.length === 0) return;
            this.#run(() => this.#send(worker, report, commands), 'pause-before-send');
          });
        };
        this.#ask(worker, () => worker.report(), handleReport);
      }
    }
  }

  #ask(
    worker: ModelWorker,
    call: () => WorkerReport,
    then: (report: WorkerReport, askedOffset: number) => void,
  ): void {
    const { network } = this.#world;
    const askedOffset = this.#control.fold.offset;
    const handle = this.#answer((report: WorkerReport) => then(report, askedOffset));
    network.send(this.nodeId, worker.hostId, () => {
      const report = call();
      network.send(worker.hostId, this.nodeId, () => handle(report));
    });
  }

  #send(worker: ModelWorker, report: WorkerReport, commands: readonly WorkerCommand[]): void {
    const { incarnation, heartbeat } = report;
    const lease = { incarnation, heartbeat, leaseMs: TIMING.leaseMs };
    for (const { type, task } of commands) {
      const { taskId, attempt } = task;
      const ref = { taskId, attempt };
      const full = this.#control.fold.tasks.get(taskId);
      const handleReply = (next: WorkerReport, askedOffset: number): void =>
        this.#reported({ askedOffset, report: next });
      if (type === 'stop') this.#ask(worker, () => worker.stop(ref), handleReply);
      else if (type === 'checkpoint') this.#ask(worker, () => worker.checkpoint(ref), handleReply);
      else if (type === 'renew') {
        this.#ask(worker, () => worker.renew({ ...lease, attempts: [ref] }), handleReply);
      } else if (full?.attempt === attempt) {
        const { kind, owner, resources, checkpoint } = full;
        const message = { ...ref, ...lease, kind, owner, resources, checkpoint };
        this.#ask(worker, () => worker.start(message), handleReply);
      }
    }
  }

  #reported(asked: PolledReport): void {
    this.#control.onReport(asked, this.#clock());
    const holder = this.#control.fold.holder?.split('/')[0];
    const { nodes, network } = this.#world;
    const peer = nodes.find((node) => node.nodeId === holder && node !== this);
    if (!peer) return;
    network.send(this.nodeId, peer.nodeId, () =>
      peer.#run(() => peer.#control.onReport(asked, peer.#clock())),
    );
  }

  #decide(): void {
    const now = this.#clock();
    if (this.#appendSentAt !== undefined && now - this.#appendSentAt < APPEND_TIMEOUT_MS) return;
    this.#appendSentAt = undefined;
    const { fold } = this.#control;
    if (fold.offset < this.#awaitedOffset) return;
    if (this.#control.shouldJoin) {
      const incarnation = String(this.#generation);
      this.#append({ type: 'join', id: this.#id(), nodeId: this.nodeId, incarnation });
    } else if (this.#control.holds) this.#pass(now);
    else if (!this.#holderAlive(now)) this.claimTerm();
  }

  #holderAlive(now: number): boolean {
    const holder = this.#control.fold.holder?.split('/')[0];
    if (holder === undefined || holder === this.nodeId) return false;
    return now - (this.#lastHelloAt.get(holder) ?? now) < PEER_SILENCE_MS;
  }

  #pass(now: number): void {
    const { manifest, listed } = this.#world;
    const { fold, key } = this.#control;
    const input = { manifest, listed: listed(), policy: new BestFit() };
    const actions: ControlAction[] = [];
    for (const step of this.#control.decide(input, now)) {
      if (step.type === 'action') actions.push(step.action);
    }
    if (actions.length === 0) return;
    const { term, batchOffset: base } = fold;
    this.#append({ type: 'batch', id: this.#id(), term, holder: key, base, actions });
  }

  #append(record: ControlRecord): void {
    this.#appendSentAt = this.#clock();
    // Records are sent as JSON, which drops undefined fields.
    const value: unknown = JSON.parse(JSON.stringify(record));
    const answered = this.#answer((offset: number) => {
      this.#appendSentAt = undefined;
      this.#awaitedOffset = Math.max(this.#awaitedOffset, offset);
    });
    this.#world.log.append(this.nodeId, value, answered);
  }
}
