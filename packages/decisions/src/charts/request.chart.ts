import type { Outcome } from '@redwingcrank/protocol';
import type { ChartFile } from '../chart.js';
import { Chart } from '../chart.js';

export type RequestState =
  'waiting' | 'sending' | 'uncertain' | 'sendingAgain' | 'answered' | 'notRun' | 'unknown';

/**
 * - `send`: the request goes to an endpoint.
 * - `answer`: the headers of an answer came.
 * - `clean`: the send surely ran nothing.
 * - `lost`: the send may have run.
 * - `end`: it is not sent any more.
 */
export type RequestEvent = 'send' | 'answer' | 'clean' | 'lost' | 'end';

/**
 * One request over all its sends. Once a send was lost there is no way back to a state that ends
 * as `notRun`: a later send that surely ran nothing tells nothing about the lost one.
 */
const file: ChartFile<RequestState, RequestEvent> = {
  id: 'request',
  initial: 'waiting',
  states: {
    waiting: { on: { send: 'sending', end: 'notRun' } },
    sending: { on: { answer: 'answered', clean: 'waiting', lost: 'uncertain' } },
    uncertain: { on: { send: 'sendingAgain', end: 'unknown' } },
    sendingAgain: { on: { answer: 'answered', clean: 'uncertain', lost: 'uncertain' } },
    answered: { final: true, on: {} },
    notRun: { final: true, on: {} },
    unknown: { final: true, on: {} },
  },
};

export const requestChart = new Chart(file);

/** What came of one send, as the request's chart sees it. */
export const SEND_EVENTS = {
  answer: 'answer',
  'not-sent': 'clean',
  'not-run': 'clean',
  lost: 'lost',
} as const satisfies Record<string, RequestEvent>;

/** Whether a request in this state may go to another endpoint. */
export function maySend(state: RequestState, idempotent: boolean): boolean {
  return state === 'waiting' || (state === 'uncertain' && idempotent);
}

/** What to tell of a request that ends in this state without an answer. */
export function unansweredOutcome(state: RequestState): Outcome {
  return requestChart.next(state, 'end') === 'notRun' ? 'not-run' : 'unknown';
}
