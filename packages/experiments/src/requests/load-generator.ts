import http from 'node:http';
import { randomUUID } from 'node:crypto';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { RandomSource } from '@redwingcrank/decisions';

const HIGHEST_US = 120_000_000;
const DIGITS = 3;
const US_PER_MS = 1000;

/** Latencies in microseconds, from the time a request was meant to be sent. */
export function newHistogram(): Histogram {
  return build({ highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: DIGITS });
}

export interface LoadOptions {
  /** The callers' ports of the entry hosts. */
  readonly ports: readonly number[];
  readonly perSecond: number;
  readonly durationMs: number;
  readonly holds: number;
  readonly deadlineMs: number;
  readonly random: RandomSource;
}

/** What the callers saw. */
export interface LoadResult {
  readonly checks: Histogram;
  readonly holds: Histogram;
  readonly refusals: Histogram;
  /** Answers by status and code, `lost` where the connection broke. */
  readonly counts: Map<string, number>;
  /** Answers that belong to another request. */
  wrong: number;
}

const RANDOM_STEPS = 1_000_000;

/**
 * Sends at set times whatever the answers do (open loop), so that slow answers do not lower the
 * load and hide themselves. Like a balancer it goes on to the next entry host where one refuses
 * the connection.
 */
export class LoadGenerator {
  readonly #options: LoadOptions;

  readonly #agent = new http.Agent({ keepAlive: true, timeout: 3_000 });

  readonly #result: LoadResult = {
    checks: newHistogram(),
    holds: newHistogram(),
    refusals: newHistogram(),
    counts: new Map(),
    wrong: 0,
  };

  constructor(options: LoadOptions) {
    this.#options = options;
  }

  async run(): Promise<LoadResult> {
    const { perSecond, durationMs } = this.#options;
    const start = performance.now();
    const open: Promise<void>[] = [];
    // Exponential gaps: independent callers, as a Poisson process.
    for (let at = 0; at < durationMs; at += this.#gapMs(perSecond)) {
      const wait = start + at - performance.now();
      if (wait > 1) await sleep(wait);
      open.push(this.#one(start + at, open.length));
    }
    await Promise.all(open);
    this.#agent.destroy();
    return this.#result;
  }

  #fraction(): number {
    return (this.#options.random.int(0, RANDOM_STEPS - 1) + 1) / RANDOM_STEPS;
  }

  #gapMs(perSecond: number): number {
    return (-Math.log(this.#fraction()) * 1000) / perSecond;
  }

  async #one(intended: number, index: number): Promise<void> {
    const hold = this.#fraction() < this.#options.holds;
    const id = randomUUID();
    const { ports } = this.#options;
    for (let hop = 0; hop < ports.length; hop += 1) {
      const port = ports[(index + hop) % ports.length] ?? 0;
      const answer = await this.#send(port, hold, id);
      if (answer !== 'refused') {
        // A timer may fire a little early: an answer before the intended time took no time.
        this.#record(answer, hold, id, Math.max(0, performance.now() - intended) * US_PER_MS);
        return;
      }
    }
    this.#count('unreachable');
  }

  #record(answer: Answer | 'lost', hold: boolean, id: string, us: number): void {
    if (answer === 'lost') {
      this.#count('lost');
      return;
    }
    const code = answer.status === 200 ? '' : ` ${codeOf(answer.body)}`;
    this.#count(`${answer.status}${code}`);
    if (answer.status !== 200) {
      this.#result.refusals.recordValue(us);
      return;
    }
    if (!answer.body.includes(id)) this.#result.wrong += 1;
    (hold ? this.#result.holds : this.#result.checks).recordValue(us);
  }

  #count(key: string): void {
    this.#result.counts.set(key, (this.#result.counts.get(key) ?? 0) + 1);
  }

  #send(port: number, hold: boolean, id: string): Promise<Answer | 'lost' | 'refused'> {
    const path = hold ? `/booking/hold?id=${id}` : `/booking/check?id=${id}`;
    const key = hold ? { 'idempotency-key': id } : {};
    const headers = { 'x-request-timeout-ms': String(this.#options.deadlineMs), ...key };
    return new Promise((resolve) => {
      const method = hold ? 'POST' : 'GET';
      const req = http.request({ port, path, method, headers, agent: this.#agent });
      req.on('error', (err: NodeJS.ErrnoException) => {
        resolve(err.code === 'ECONNREFUSED' ? 'refused' : 'lost');
      });
      req.on('response', (res) => {
        let body = '';
        res.setEncoding('utf8');
        res.on('data', (chunk: string) => {
          body += chunk;
        });
        res.on('end', () => resolve({ status: res.statusCode ?? 0, body }));
        res.on('error', () => resolve('lost'));
      });
      req.end();
    });
  }
}

interface Answer {
  readonly status: number;
  readonly body: string;
}

function codeOf(body: string): string {
  try {
    const { code, outcome } = JSON.parse(body) as { code: number; outcome: string };
    return `${code} ${outcome}`;
  } catch {
    return '?';
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
