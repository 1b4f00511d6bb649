import type { ChartFile } from '../chart.js';
import { Chart } from '../chart.js';

export type AttemptState = 'bound' | 'running' | 'revoked' | 'ended';

/** `ended` is proved by the worker's report, `lapsed` by the proof that the lease has expired. */
export type AttemptEvent = 'running' | 'revoke' | 'ended' | 'lapsed';

/**
 * The lifecycle of one attempt of a task on one worker. A revoked attempt can only end: an `ended`
 * record, which needs a proof, frees the task for its next attempt. An expired lease is no proof
 * for an attempt that has not been revoked, because any node may still renew it.
 */
const file: ChartFile<AttemptState, AttemptEvent> = {
  id: 'task-attempt',
  initial: 'bound',
  states: {
    bound: { on: { running: 'running', revoke: 'revoked', ended: 'ended' } },
    running: { on: { running: 'running', revoke: 'revoked', ended: 'ended' } },
    revoked: { on: { ended: 'ended', lapsed: 'ended' } },
    ended: { final: true, on: {} },
  },
};

export const taskAttemptChart = new Chart(file);
