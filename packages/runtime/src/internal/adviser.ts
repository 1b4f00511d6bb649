import type { AdviceQuery, QueuePolicy, Scheduler } from '@redwingcrank/jobs';
import type { AdvicePort } from '../advice-port.js';
import type { NodeLog } from '../node-log.js';
import { Pause, delay, steadyMs } from './delay.js';
import { START_WINDOW_MS } from './timing.js';

/** How much longer than its stated time an answer may take, in milliseconds. */
const ANSWER_MARGIN_MS = 1_000;

/** The pause after a call without a usable answer, in milliseconds; doubled after each further one. */
const RETRY_MS = 200;

/** The longest pause after a call without a usable answer, in milliseconds. */
const MAX_RETRY_MS = 2_000;

/** The longest time between two looks at what has to be asked, in milliseconds. */
const IDLE_MS = 1_000;

/** What an adviser needs of its term. */
export interface AdviserDependencies {
  /** Undefined if the settings of the node name no advice service. */
  readonly service: AdvicePort | undefined;
  readonly scheduler: Pick<Scheduler, 'nextAdviceQuery' | 'adviceAnswered' | 'setTicketMargin'>;
  readonly log: NodeLog;
  /** Aborted when the term ends. */
  readonly signal: AbortSignal;
  /** Called when an answer has been applied: tasks may be started by it. */
  readonly onAnswer: () => void;
}

/** Asks the advice service, on the leader, which workers may run which steps; one call at a time. */
export class Adviser {
  readonly #term: AdviserDependencies;

  readonly #idle = new Pause();

  #hasAdvice = false;

  #hasLoggedMissing = false;

  constructor(term: AdviserDependencies) {
    this.#term = term;
    term.scheduler.setTicketMargin(START_WINDOW_MS);
    term.signal.addEventListener('abort', () => this.wake());
  }

  /** Sets the queues; if one has advice although there is no service, this is logged once. */
  setQueues(queues: readonly QueuePolicy[]): void {
    const advised = queues.find(({ advice }) => advice);
    this.#hasAdvice = advised !== undefined;
    if (!advised || this.#term.service || this.#hasLoggedMissing) return;
    this.#hasLoggedMissing = true;
    this.#term.log.emit('error', 'advice-missing', { queue: advised.name });
  }

  /** Called when steps may need advice. */
  wake(): void {
    this.#idle.end();
  }

  /** Asks until the signal is aborted. */
  async run(): Promise<void> {
    const { service, scheduler, signal } = this.#term;
    if (!service) return;
    let retryMs = RETRY_MS;
    while (!signal.aborted) {
      const query = this.#hasAdvice ? scheduler.nextAdviceQuery(steadyMs()) : undefined;
      if (!query) {
        await this.#idle.wait(IDLE_MS);
      } else if (await this.#ask(service, query)) {
        retryMs = RETRY_MS;
      } else {
        await delay(retryMs, signal);
        retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
      }
    }
  }

  /** Sends a query and applies its answer; returns whether there was one. */
  async #ask(service: AdvicePort, query: AdviceQuery): Promise<boolean> {
    const { scheduler, log, signal, onAnswer } = this.#term;
    const sentMs = steadyMs();
    const result = await service.ask(query, query.expectedMs + ANSWER_MARGIN_MS);
    if (signal.aborted) return false;
    const isAnswered = result.outcome === 'answered';
    if (isAnswered) scheduler.adviceAnswered(query, result.answer, sentMs, steadyMs());
    log.emit('info', 'advice', {
      step: query.step,
      workers: query.workers.length,
      approved: isAnswered ? result.answer.tickets.size : 0,
      tookMs: Math.round(steadyMs() - sentMs),
      outcome: result.outcome,
      ...(!isAnswered && { reason: result.reason }),
    });
    if (isAnswered) onAnswer();
    return isAnswered;
  }
}
