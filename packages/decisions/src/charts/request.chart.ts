import type { Outcome } from '@redwingcrank/protocol';
import type { ChartFile } from '../chart.js';
import { Chart } from '../chart.js';

export type RequestState =
  'waiting' | 'sending' | 'uncertain' | 'sendingAgain' | 'answered' | 'notRun' | 'unknown';

/**
 * The events of a request:
 * - `send`: the request is sent to an endpoint.
 * - `answer`: the headers of an answer arrived.
 * - `clean`: the send failed and the endpoint certainly did not run the request.
 * - `lost`: the send failed, but the endpoint may have run the request.
 * - `end`: the request is not sent any more.
 */
export type RequestEvent = 'send' | 'answer' | 'clean' | 'lost' | 'end';

/**
 * The lifecycle of one request over all its sends. After a lost send, no state that ends as
 * `notRun` is reachable any more: a later send that certainly did not run says nothing about the
 * lost one.
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

/** The chart event for each result of one send. */
export const SEND_EVENTS = {
  answer: 'answer',
  'not-sent': 'clean',
  'not-run': 'clean',
  lost: 'lost',
} as const satisfies Record<string, RequestEvent>;

/** Returns whether a request in this state may be sent to another endpoint. */
export function maySend(state: RequestState, idempotent: boolean): boolean {
  return state === 'waiting' || (state === 'uncertain' && idempotent);
}

/** Returns the outcome to report for a request that ends in this state without an answer. */
export function unansweredOutcome(state: RequestState): Outcome {
  return requestChart.next(state, 'end') === 'notRun' ? 'not-run' : 'unknown';
}
