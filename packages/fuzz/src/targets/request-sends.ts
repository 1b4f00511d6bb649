import fc from 'fast-check';
import { SEND_EVENTS, maySend, unansweredOutcome, requestChart } from '@redwingcrank/decisions';
import type { RequestState } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';

/** The outcomes of a send; the sender cannot know whether a lost send has run. */
const ENDS = ['answer', 'not-sent', 'not-run', 'lost-ran', 'lost-unread'] as const;

export const requestSends = fc.record({
  idempotent: fc.boolean(),
  ends: fc.array(fc.constantFrom(...ENDS), { minLength: 1, maxLength: 4 }),
});

type RequestSends = typeof requestSends extends fc.Arbitrary<infer T> ? T : never;

/** Runs one request's sends through its state chart and checks the outcome that its caller gets. */
export function checkSends({ idempotent, ends }: RequestSends, coverage: Coverage): void {
  let state: RequestState | undefined = requestChart.initial;
  let runs = 0;
  for (const end of ends) {
    if (state === undefined || !maySend(state, idempotent)) break;
    coverage.step();
    const result = end.startsWith('lost') ? 'lost' : (end as 'answer' | 'not-sent' | 'not-run');
    if (end === 'answer' || end === 'lost-ran') runs += 1;
    if (end === 'lost-ran') coverage.hit('send-lost');
    if (end === 'not-run' && runs > 0) coverage.hit('refused-after-lost');
    const sent: RequestState | undefined = requestChart.next(state, 'send');
    state = sent && requestChart.next(sent, SEND_EVENTS[result]);
  }
  if (state === undefined) throw new Error(`no state after ${ends.join(', ')}`);
  if (runs > 1 && !idempotent)
    throw new Error(`a request that is not idempotent ran ${runs} times`);
  const answered = requestChart.isFinal(state);
  if (!answered && unansweredOutcome(state) === 'not-run' && runs > 0) {
    throw new Error(`outcome not-run after ${runs} runs`);
  }
}
