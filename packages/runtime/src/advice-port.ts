import type { AdviceAnswer, AdviceQuery } from '@redwingcrank/jobs';

/**
 * The result of a query.
 *
 * - `busy`: the service has too many calls waiting.
 * - `no-answer`: no answer in time; a later one is dropped, as its tickets may have expired.
 * - `refused`, `invalid`: the service answered with an error, or with something unreadable.
 */
export type AdviceResult =
  | { readonly outcome: 'answered'; readonly answer: AdviceAnswer }
  | {
      readonly outcome: 'busy' | 'no-answer' | 'refused' | 'invalid';
      readonly reason: string;
    };

/** Calls to the service that knows which workers may run which steps. They never throw. */
export abstract class AdvicePort {
  /** Asks which of the workers may run the step, and waits for the answer for at most this time. */
  abstract ask(query: AdviceQuery, timeoutMs: number): Promise<AdviceResult>;
}
