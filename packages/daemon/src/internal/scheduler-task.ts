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
  { readonly type: 'pass' } | { readonly type: 'report'; readonly polled: PolledReport };

export interface SchedulerOptions {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly control: ControlNode;
  readonly log: PlatformLog;
  readonly events: EventLog;
  readonly policy: PlacementPolicy;
  readonly throttler: Throttler;
  /** The measurements of the policy; kept until the process ends. */
  readonly memory: SchedulingMemory;
  readonly manifest: () => Manifest | undefined;
  readonly hosts: () => readonly ListedHost[] | undefined;
  /** Returns whether this node should hold the data centre, as far as it knows. */
  readonly shouldClaim: () => boolean;
}

/** A pass yields to the event loop after this time, because requests share the loop. */
const SLICE_MS = 5;

/** A `join` record that is not read back within this time counts as lost and is appended again. */
const JOIN_RETRY_MS = 2_000;

/** Pause after a failed append; otherwise every pass would retry and load a failing log. */
const APPEND_PAUSE_MS = 500;

/**
 * Decides for its data centre while it holds the term. It may wrongly believe that it holds the
 * term; the fold then voids (rejects) its records.
 */
export class SchedulerTask extends Task<SchedulerMessage> {
  readonly #options: SchedulerOptions;

  #unplaced: readonly Unplaced[] = [];

  /** Offset of the last own record; no pass runs until the fold has reached it. */
  #awaitedOffset = -1;

  #joinedAt = -Infinity;

  #appendFailedAt = -Infinity;

  constructor(options: SchedulerOptions) {
    super('scheduler', options.events);
    this.#options = options;
  }

  /** The tasks that the last pass could not place. */
  get unplaced(): readonly Unplaced[] {
    return this.#unplaced;
  }

  /** Explains why a task runs on its host or does not run; undefined if the task is unknown. */
  explain(taskId: string): TaskExplanation | undefined {
    const input = this.#planInput();
    return input && explainTask(input, this.#unplaced, taskId);
  }

  get holds(): boolean {
    return this.#options.control.holds;
  }

  protected override async handle(message: SchedulerMessage): Promise<void> {
    const { control } = this.#options;
    if (message.type === 'report') {
      control.onReport(message.polled, performance.now());
      this.#observe(message.polled.report);
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

  /**
   * Appends this node's `join` record. Until it is folded the node sends no command to a worker;
   * see LeaseExpiryTracker for the reason.
   */
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
    for (const action of actions) this.#logAction(action);
  }

  #observe(report: WorkerReport): void {
    const manifest = this.#options.manifest();
    const { control, memory } = this.#options;
    if (manifest) memory.colocation.observe(control.fold, manifest, report, Date.now());
  }

  #planInput(): PlanInput | undefined {
    const { dataCentre, control, policy, memory } = this.#options;
    const manifest = this.#options.manifest();
    if (!manifest) return undefined;
    const { fold } = control;
    const listed = this.#options.hosts();
    return { dataCentre, manifest, fold, policy, listed, nowMs: Date.now(), memory };
  }

  async #plan(): Promise<ControlAction[]> {
    const input = this.#planInput();
    if (!input) return [];
    const { control } = this.#options;
    const { fold } = control;
    const steps = control.decide(input, performance.now());
    const actions: ControlAction[] = [];
    const unplaced: Unplaced[] = [];
    const startOffset = fold.offset;
    let sliceEnd = performance.now() + SLICE_MS;
    for (const step of steps) {
      if (step.type === 'action') actions.push(step.action);
      else if (step.type === 'unplaced') unplaced.push(step.unplaced);
      if (performance.now() > sliceEnd) {
        await new Promise(setImmediate);
        // The state changed during the pass, so the actions planned so far may contradict it.
        if (fold.offset !== startOffset) return [];
        sliceEnd = performance.now() + SLICE_MS;
      }
    }
    this.#unplaced = unplaced;
    return actions;
  }

  /**
   * Appends a record. If the answer is lost, the record may be in the log anyway. It is not
   * repeated blindly: the next pass plans again from the fold, and the fold voids contradicting
   * records.
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

  #logAction(action: ControlAction): void {
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
