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
const POLL_LIMIT_MS = 600;
const HELLO_MS = 200;
const TEND_MS = 250;
const DECIDE_MS = 200;
const APPEND_LIMIT_MS = 800;
const PEER_SILENCE_MS = 900;

/** A message is written at most so long after its check, unless a pause comes between. */
const CHECK_TO_SEND_MS = 40;

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

/** A node process: it can be paused at any point, and lose its memory in a crash. */
export class ModelNode {
  readonly nodeId: string;

  readonly #world: NodeWorld;

  readonly #rate: number;

  readonly #backlog: (() => void)[] = [];

  readonly #heardAt = new Map<string, number>();

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

  /** Freezes the process: what reaches it meanwhile is handled when it wakes. */
  pause(ms: number): void {
    const { time, coverage } = this.#world;
    coverage.hit('node-paused');
    this.#pausedUntil = time.now + ms;
    time.after(ms, () => this.#wake());
  }

  /** Ends the process and starts it again without its memory. */
  crash(): void {
    this.#world.coverage.hit('node-crashed');
    this.#generation += 1;
    this.#backlog.length = 0;
    this.#pausedUntil = 0;
    this.#pollSentAt = undefined;
    this.#appendSentAt = undefined;
    this.#awaitedOffset = -1;
    this.#heardAt.clear();
    this.#control = this.#boot();
  }

  /** Claims the data centre, whoever holds it. */
  usurp(): void {
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
    this.#every(HELLO_MS, () => this.#greet());
    this.#every(TEND_MS, () => this.#tendAll());
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
    const round = (): void => {
      if (generation !== this.#generation) return;
      if (this.#world.time.now >= this.#pausedUntil) run();
      this.#world.time.after(ms, round);
    };
    this.#world.time.after(this.#world.network.random.int(1, ms), round);
  }

  /** Runs something in this process: later where it is paused, never where it has crashed. */
  #run(step: () => void, waiting?: string): void {
    if (this.#world.time.now < this.#pausedUntil) {
      if (waiting !== undefined) this.#world.coverage.hit(waiting);
      this.#backlog.push(step);
    } else step();
  }

  /** Wraps an answer's handler, so that it dies with the process that waits for it. */
  #answer<T extends unknown[]>(handle: (...args: T) => void): (...args: T) => void {
    const generation = this.#generation;
    return (...args) => {
      if (generation === this.#generation) this.#run(() => handle(...args));
    };
  }

  #wake(): void {
    if (this.#world.time.now < this.#pausedUntil) return;
    this.#backlog.splice(0).forEach((step) => step());
  }

  #poll(): void {
    const now = this.#clock();
    if (this.#pollSentAt !== undefined && now - this.#pollSentAt < POLL_LIMIT_MS) return;
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

  #greet(): void {
    const { nodes, network } = this.#world;
    for (const peer of nodes) {
      if (peer !== this) {
        const incarnation = String(this.#generation);
        const controlOffset = this.#control.fold.offset;
        const hello = { nodeId: this.nodeId, incarnation, controlOffset };
        network.send(this.nodeId, peer.nodeId, () => peer.#run(() => peer.#hear(hello)));
      }
    }
  }

  #hear(hello: Omit<ReceivedHello, 'at'>): void {
    const at = this.#clock();
    this.#heardAt.set(hello.nodeId, at);
    this.#control.onHello({ ...hello, at });
  }

  #tendAll(): void {
    const { workers, network } = this.#world;
    for (const worker of workers) {
      // Every node tends every host now and then, though one would do: the worst for races.
      if (network.random.int(0, 1) === 1) {
        const act = (report: WorkerReport, askedOffset: number): void => {
          this.#reported({ askedOffset, report });
          const acts = [...this.#control.commandsFor(report, this.#clock())];
          const generation = this.#generation;
          this.#world.time.after(network.random.int(0, CHECK_TO_SEND_MS), () => {
            if (generation !== this.#generation || acts.length === 0) return;
            this.#run(() => this.#send(worker, report, acts), 'pause-before-send');
          });
        };
        this.#ask(worker, () => worker.report(), act);
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

  #send(worker: ModelWorker, report: WorkerReport, acts: readonly WorkerCommand[]): void {
    const { incarnation, heartbeat } = report;
    const stamp = { incarnation, heartbeat, leaseMs: TIMING.leaseMs };
    for (const { type, task } of acts) {
      const { taskId, attempt } = task;
      const ref = { taskId, attempt };
      const full = this.#control.fold.tasks.get(taskId);
      const note = (next: WorkerReport, askedOffset: number): void =>
        this.#reported({ askedOffset, report: next });
      if (type === 'stop') this.#ask(worker, () => worker.stop(ref), note);
      else if (type === 'checkpoint') this.#ask(worker, () => worker.checkpoint(ref), note);
      else if (type === 'renew') {
        this.#ask(worker, () => worker.renew({ ...stamp, attempts: [ref] }), note);
      } else if (full?.attempt === attempt) {
        const { kind, owner, resources, checkpoint } = full;
        const message = { ...ref, ...stamp, kind, owner, resources, checkpoint };
        this.#ask(worker, () => worker.start(message), note);
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
    if (this.#appendSentAt !== undefined && now - this.#appendSentAt < APPEND_LIMIT_MS) return;
    this.#appendSentAt = undefined;
    const { fold } = this.#control;
    if (fold.offset < this.#awaitedOffset) return;
    if (this.#control.shouldJoin) {
      const incarnation = String(this.#generation);
      this.#append({ type: 'join', id: this.#id(), nodeId: this.nodeId, incarnation });
    } else if (this.#control.holds) this.#pass(now);
    else if (!this.#holderAlive(now)) this.usurp();
  }

  #holderAlive(now: number): boolean {
    const holder = this.#control.fold.holder?.split('/')[0];
    if (holder === undefined || holder === this.nodeId) return false;
    return now - (this.#heardAt.get(holder) ?? now) < PEER_SILENCE_MS;
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
    // Records go the way of JSON, which drops what is undefined.
    const value: unknown = JSON.parse(JSON.stringify(record));
    const answered = this.#answer((offset: number) => {
      this.#appendSentAt = undefined;
      this.#awaitedOffset = Math.max(this.#awaitedOffset, offset);
    });
    this.#world.log.append(this.nodeId, value, answered);
  }
}
