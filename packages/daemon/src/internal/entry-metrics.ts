import type { Registry } from 'prom-client';
import { Counter, Gauge, Histogram } from 'prom-client';
import type { KeyVerdict } from '@redwingcrank/decisions';
import type { ForwardResult } from './forward.js';

const SECOND_MS = 1000;

const LATENCY_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

/** The metrics of the entry role. */
export class EntryMetrics {
  readonly #latency: Histogram<'status'>;

  readonly #sends: Counter<'result'>;

  readonly #waiting: Gauge<'service'>;

  readonly #refusals: Counter<'code'>;

  readonly #keyed: Counter<'verdict'>;

  constructor(registry: Registry) {
    this.#latency = new Histogram({
      name: 'redwingcrank_request_seconds',
      help: 'Time from the request to the end of its answer',
      labelNames: ['status'],
      buckets: LATENCY_BUCKETS_S,
      registers: [registry],
    });
    this.#sends = new Counter({
      name: 'redwingcrank_sends_total',
      help: 'Requests sent to endpoints, by what came of them',
      labelNames: ['result'],
      registers: [registry],
    });
    this.#waiting = new Gauge({
      name: 'redwingcrank_requests_waiting',
      help: 'Requests that wait for a slot, by service',
      labelNames: ['service'],
      registers: [registry],
    });
    this.#refusals = new Counter({
      name: 'redwingcrank_refusals_total',
      help: 'Requests without an answer of an endpoint, by result code',
      labelNames: ['code'],
      registers: [registry],
    });
    this.#keyed = new Counter({
      name: 'redwingcrank_keyed_requests_total',
      help: 'Requests with an idempotency key at their home, by what it knew of the key',
      labelNames: ['verdict'],
      registers: [registry],
    });
  }

  observe(status: number, ms: number): void {
    this.#latency.observe({ status: String(status) }, ms / SECOND_MS);
  }

  countSend(result: ForwardResult['type']): void {
    this.#sends.inc({ result });
  }

  setWaiting(service: string, count: number): void {
    this.#waiting.set({ service }, count);
  }

  countRefusal(code: number): void {
    this.#refusals.inc({ code: String(code) });
  }

  countKeyed(verdict: KeyVerdict<unknown>['type']): void {
    this.#keyed.inc({ verdict });
  }
}
