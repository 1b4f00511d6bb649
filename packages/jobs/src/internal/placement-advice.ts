import type { AdviceAnswer, AdvicePolicy, AdviceQuery } from '../advice.js';

/** The most workers that the advice service accepts in one query. */
const MAX_QUERIED_WORKERS = 100;

/**
 * The least number of workers in a query, if there are as many: with fewer, most of a call is the
 * service's time for a decision, and a step that is late already would get no ticket for long.
 */
const MIN_QUERIED_WORKERS = 4;

const NO_WORKERS: ReadonlySet<string> = new Set();

interface Ticket {
  readonly text: string;
  readonly validUntilMs: number;
}

/** What is known of a step. The set of workers that may run a step does not change. */
interface StepAdvice {
  /** The newest ticket of each approved worker, expired ones included, by the worker's id. */
  readonly approved: Map<string, Ticket>;
  /** The ids of the workers that may not run the step. */
  readonly refused: Set<string>;
}

/** A worker that a query may name. */
export interface AdvisableWorker {
  readonly id: string;
  readonly hasCapacity: boolean;
}

/** Holds which workers may run the steps of queues with advice, and states what to ask next. */
export class PlacementAdvice {
  readonly #steps = new Map<string, StepAdvice>();

  /** For how long a ticket must still be valid to be used for a start, in milliseconds. */
  minValidityMs = 0;

  /** Returns the ticket with which a task of the step can be started on the worker now. */
  ticketOf(step: string, worker: string, nowMs: number): string | undefined {
    const ticket = this.#steps.get(step)?.approved.get(worker);
    return ticket && this.#isUsable(ticket, nowMs) ? ticket.text : undefined;
  }

  /**
   * Whether a start that was decided with this ticket must not be sent: the ticket was rejected or
   * has expired. One that has been replaced by a newer ticket may still be valid.
   */
  isVoid(step: string, worker: string, text: string, nowMs: number): boolean {
    const ticket = this.#steps.get(step)?.approved.get(worker);
    return !ticket || (ticket.text === text && ticket.validUntilMs <= nowMs);
  }

  /** Yields the ids of the workers on which tasks of the step can be started now. */
  *usableWorkers(step: string, nowMs: number): Generator<string> {
    for (const [worker, ticket] of this.#steps.get(step)?.approved ?? [])
      if (this.#isUsable(ticket, nowMs)) yield worker;
  }

  /** Returns how many workers are known as approved for the step. */
  approvedCount(step: string): number {
    return this.#steps.get(step)?.approved.size ?? 0;
  }

  /** Returns the workers that are known as not approved for the step. */
  refusedFor(step: string): ReadonlySet<string> {
    return this.#steps.get(step)?.refused ?? NO_WORKERS;
  }

  /**
   * Returns the query that a step needs next, among these workers; undefined if all of them have
   * been answered for. `availableMs`: how long the answer may take.
   */
  queryFor(
    step: string,
    { decisionMs, periodMs }: AdvicePolicy,
    workers: Iterable<AdvisableWorker>,
    availableMs: number,
    nowMs: number,
  ): AdviceQuery | undefined {
    const advice = this.#steps.get(step);
    const byUse: string[][] = [[], [], [], []];
    for (const { id, hasCapacity } of workers) {
      const ticket = advice?.approved.get(id);
      const isAnswered = ticket ? this.#isUsable(ticket, nowMs) : advice?.refused.has(id);
      if (!isAnswered) byUse[(ticket ? 0 : 2) + (hasCapacity ? 0 : 1)]!.push(id);
    }
    const affordable = Math.floor((availableMs - decisionMs) / Math.max(1, periodMs));
    const count = Math.min(MAX_QUERIED_WORKERS, Math.max(MIN_QUERIED_WORKERS, affordable));
    const named = byUse.flat().slice(0, count);
    if (named.length === 0) return undefined;
    return { step, workers: named, expectedMs: decisionMs + periodMs * named.length };
  }

  /**
   * Records an answer. Its tickets count as valid from the earliest time at which the service can
   * have issued them.
   */
  answered(
    { step, workers, expectedMs }: AdviceQuery,
    { tickets, validityMs }: AdviceAnswer,
    sentMs: number,
    nowMs: number,
  ): void {
    const advice = this.#steps.get(step) ?? { approved: new Map(), refused: new Set() };
    this.#steps.set(step, advice);
    const validUntilMs = Math.min(nowMs, sentMs + expectedMs) + validityMs;
    for (const worker of workers) {
      const text = tickets.get(worker);
      if (text === undefined) {
        advice.approved.delete(worker);
        advice.refused.add(worker);
      } else advice.approved.set(worker, { text, validUntilMs });
    }
  }

  /** Records that a worker has rejected a ticket; it is asked for again. */
  ticketRejected(step: string, worker: string, text: string): void {
    const approved = this.#steps.get(step)?.approved;
    if (approved?.get(worker)?.text === text)
      approved.set(worker, { text, validUntilMs: -Infinity });
  }

  /** Drops the tickets of a worker: they are valid for one process only. */
  workerRestarted(worker: string): void {
    for (const { approved } of this.#steps.values()) approved.delete(worker);
  }

  /** Drops what is known of the steps for which `isNeeded` does not hold. */
  forget(isNeeded: (step: string) => boolean): void {
    for (const step of this.#steps.keys()) if (!isNeeded(step)) this.#steps.delete(step);
  }

  #isUsable({ validUntilMs }: Ticket, nowMs: number): boolean {
    return validUntilMs - nowMs >= this.minValidityMs;
  }
}
