import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AdviceQuery } from '@redwingcrank/jobs';
import type { AdviceResult } from '../advice-port.js';
import { AdvicePort } from '../advice-port.js';
import type { LogFields } from '../node-log.js';
import { NodeLog } from '../node-log.js';
import { Adviser } from '../internal/adviser.js';
import { steadyMs } from '../internal/delay.js';
import { NodeMetrics } from '../internal/node-metrics.js';
import { CONFIG } from './config-fixtures.js';
import { NODE_STATE } from './fixtures.js';
import { VirtualTime } from './virtual-fleet.js';

const QUERY: AdviceQuery = { step: 'j.0.0', workers: ['w1', 'w2'], expectedMs: 40 };

const QUEUES = CONFIG.queues.map((queue) => ({
  ...queue,
  advice: { decisionMs: 30, periodMs: 5, validityMs: 3_000 },
}));

/** A service that answers with the given results, one after another, and records its calls. */
class ScriptedService extends AdvicePort {
  readonly results: AdviceResult[];

  readonly calls: { readonly atMs: number; readonly timeoutMs: number }[] = [];

  constructor(results: AdviceResult[]) {
    super();
    this.results = results;
  }

  override async ask(_query: AdviceQuery, timeoutMs: number): Promise<AdviceResult> {
    this.calls.push({ atMs: steadyMs(), timeoutMs });
    return this.results.shift() ?? { outcome: 'no-answer', reason: 'timeout' };
  }
}

const noScheduler = {
  nextAdviceQuery: () => undefined,
  adviceAnswered: () => {},
  setTicketMargin: () => {},
};

test('the advice service is asked again after a failure, with a growing pause, and counted', async (t) => {
  // Guards against a service in trouble that is called without a pause, and against a leader that gives
  // it up after a failure.
  const time = new VirtualTime(t);
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => NODE_STATE);
  const answer = { tickets: new Map([['w1', 't']]), validityMs: 3_000 };
  const failure = { outcome: 'busy', reason: 'status 429' } as const;
  const service = new ScriptedService([...Array.from({ length: 6 }, () => failure)]);
  service.results.push({ outcome: 'answered', answer });
  const answers: unknown[] = [];
  const scheduler = {
    ...noScheduler,
    nextAdviceQuery: () => (answers.length === 0 ? QUERY : undefined),
    adviceAnswered: (_: AdviceQuery, received: unknown) => answers.push(received),
  };
  const stopping = new AbortController();
  let wakes = 0;
  const onAnswer = (): void => {
    wakes += 1;
  };
  const adviser = new Adviser({ service, scheduler, log, signal: stopping.signal, onAnswer });
  adviser.setQueues(QUEUES);
  const running = adviser.run();
  await time.advance(9_000);
  const pauses = service.calls
    .slice(1)
    .map(({ atMs }, i) => Math.round(atMs - service.calls[i]!.atMs));
  assert.deepEqual(pauses, [200, 400, 800, 1_600, 2_000, 2_000]);
  assert.deepEqual([answers, wakes], [[answer], 1]);
  assert.equal(service.calls[0]!.timeoutMs, QUERY.expectedMs + 1_000);
  stopping.abort();
  await running;
  const text = await metrics.text();
  assert.match(text, /redwingcrank_advice_calls_total\{outcome="busy"\} 6/);
  assert.match(text, /redwingcrank_advice_calls_total\{outcome="answered"\} 1/);
});

test('a queue with advice and no service to ask is logged once, as an error', async () => {
  // Guards against a queue that waits for good, unseen, or whose error fills the log.
  const log = new NodeLog('n1', 'silent');
  const events: [string, LogFields][] = [];
  log.observe((event, fields) => events.push([event, fields]));
  const { signal } = new AbortController();
  const term = { service: undefined, scheduler: noScheduler, log, signal, onAnswer: () => {} };
  const adviser = new Adviser(term);
  adviser.setQueues(CONFIG.queues);
  assert.equal(events.length, 0);
  for (let i = 0; i < 2; i += 1) adviser.setQueues(QUEUES);
  await adviser.run();
  assert.deepEqual(events, [['advice-missing', { queue: 'q' }]]);
});
