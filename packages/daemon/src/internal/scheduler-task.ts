import { randomUUID } from 'node:crypto';
import type {
  PolledReport,
  ControlAction,
  ControlRecord,
  EventFields,
  ListedHost,
  Manifest,
  WorkerReport,
} from '@redwingcrank/protocol';
import { controlStream } from '@redwingcrank/protocol';
import type { PlatformLog } from '@redwingcrank/ports';
import type {
  ControlNode,
  PlacementPolicy,
  PlanInput,
  SchedulingMemory,
  TaskExplanation,
  Unplaced,
} from '@redwingcrank/decisions';
import { explainTask } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';
import { Task } from './task.js';
import type { Throttler } from './throttler.js';

export type SchedulerMessage =
  { readonly type: 'pass' } | { readonly type: 'report'; readonly asked: PolledReport };

export interface SchedulerOptions {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly control: ControlNode;
  readonly log: PlatformLog;
  readonly events: EventLog;
  readonly policy: PlacementPolicy;
  readonly throttler: Throttler;
  /** What the policy learned; it lasts as long as the process. */
  readonly memory: SchedulingMemory;
  readonly manifest: () => Manifest | undefined;
  readonly hosts: () => readonly ListedHost[] | undefined;
  /** Whether this node should hold the data centre, as far as it knows. */
  readonly shouldClaim: () => boolean;
}

/** A pass lets other work run after so long: requests share the event loop. */
const SLICE_MS = 5;

/** A record that should have been read back by now was lost: it is written again. */
const JOIN_RETRY_MS = 2_000;

/** A log in trouble is not asked without end: every pass would try again. */
const APPEND_PAUSE_MS = 500;

/**
 * Decides for its data centre while it holds the term. It may believe wrongly that it holds it:
 * the fold voids what it then appends.
 */
export class SchedulerTask extends Task<SchedulerMessage> {
  readonly #options: SchedulerOptions;

  #unplaced: readonly Unplaced[] = [];

  /** Set while an append is not yet read back; no pass runs on a state that lacks it. */
  #awaitedOffset = -1;

  #joinedAt = -Infinity;

  #appendFailedAt = -Infinity;

  constructor(options: SchedulerOptions) {
    super('scheduler', options.events);
    this.#options = options;
  }

  /** What the last pass could not place. */
  get unplaced(): readonly Unplaced[] {
    return this.#unplaced;
  }

  /** Why a task runs where it runs or does not run; undefined where nothing names it. */
  explain(taskId: string): TaskExplanation | undefined {
    const input = this.#input();
    return input && explainTask(input, this.#unplaced, taskId);
  }

  get holds(): boolean {
    return this.#options.control.holds;
  }

  protected override async handle(message: SchedulerMessage): Promise<void> {
    const { control } = this.#options;
    if (message.type === 'report') {
      control.onReport(message.asked, performance.now());
      this.#learn(message.asked.report);
      return;
    }
    if (control.fold.offset < this.#awaitedOffset) return;
    if (this.holds) this.#options.throttler.sweep(performance.now());
    else this.#options.throttler.forget();
    if (performance.now() - this.#appendFailedAt < APPEND_PAUSE_MS) return;
    if (control.shouldJoin) await this.#join();
    else if (this.holds) await this.#pass();
    else if (this.#options.shouldClaim()) await this.#claim();
  }

  /** Until its own record is folded the node acts on no worker; see LeaseExpiryTracker for why. */
  async #join(): Promise<void> {
    const now = performance.now();
    if (now - this.#joinedAt < JOIN_RETRY_MS) return;
    this.#joinedAt = now;
    const { nodeId, incarnation } = this.#options;
    await this.#append({ type: 'join', id: randomUUID(), nodeId, incarnation });
  }

  async #claim(): Promise<void> {
    const { fold, key } = this.#options.control;
    const term = fold.term + 1;
    this.events.emit('info', 'term-claimed', { term });
    await this.#append({ type: 'claim', id: randomUUID(), term, holder: key });
  }

  async #pass(): Promise<void> {
    const { fold, key } = this.#options.control;
    const actions = await this.#plan();
    if (actions.length === 0) return;
    for (const action of actions) {
      if (action.type === 'ended') this.#options.memory.ended(fold, action, Date.now());
    }
    const id = randomUUID();
    const { term, batchOffset: base } = fold;
    await this.#append({ type: 'batch', id, term, holder: key, base, actions });
    for (const action of actions) this.#tell(action);
  }

  #learn(report: WorkerReport): void {
    const manifest = this.#options.manifest();
    const { control, memory } = this.#options;
    if (manifest) memory.colocation.observe(control.fold, manifest, report, Date.now());
  }

  #input(): PlanInput | undefined {
    const { dataCentre, control, policy, memory } = this.#options;
    const manifest = this.#options.manifest();
    if (!manifest) return undefined;
    const { fold } = control;
    const listed = this.#options.hosts();
    return { dataCentre, manifest, fold, policy, listed, nowMs: Date.now(), memory };
  }

  async #plan(): Promise<ControlAction[]> {
    const input = this.#input();
    if (!input) return [];
    const { control } = this.#options;
    const { fold } = control;
    const steps = control.decide(input, performance.now());
    const actions: ControlAction[] = [];
    const unplaced: Unplaced[] = [];
    const before = fold.offset;
    let sliceEnd = performance.now() + SLICE_MS;
    for (const step of steps) {
      if (step.type === 'action') actions.push(step.action);
      else if (step.type === 'unplaced') unplaced.push(step.unplaced);
      if (performance.now() > sliceEnd) {
        await new Promise(setImmediate);
        // The state moved under the pass: what it found so far may contradict it.
        if (fold.offset !== before) return [];
        sliceEnd = performance.now() + SLICE_MS;
      }
    }
    this.#unplaced = unplaced;
    return actions;
  }

  /**
   * Where the answer is lost the record may be on the log all the same. Nothing is repeated
   * blindly: the next pass plans anew from the fold, and the fold voids what contradicts it.
   */
  async #append(record: ControlRecord): Promise<void> {
    const { log, dataCentre } = this.#options;
    try {
      this.#awaitedOffset = await log.append(controlStream(dataCentre), record);
    } catch (err) {
      this.#appendFailedAt = performance.now();
      throw err;
    }
  }

  #tell(action: ControlAction): void {
    if (action.type === 'host') {
      this.events.emit('info', 'host-seen', { host: action.hostId, state: action.state });
      return;
    }
    if (action.type === 'worker' || action.type === 'leave') {
      const { type, ...fields } = action;
      this.events.emit('info', type === 'worker' ? 'worker-seen' : 'member-left', fields);
      return;
    }
    const { type, taskId, attempt } = action;
    const fields: EventFields = { task: taskId, attempt };
    if (type === 'bind') fields.host = action.hostId;
    if (type === 'ended') Object.assign(fields, { outcome: action.outcome, proof: action.proof });
    if (type === 'revoke') fields.reason = action.reason;
    this.events.emit('info', `attempt-${type}`, fields);
  }
}
