import type http from 'node:http';
import type { Service } from '@redwingcrank/protocol';
import type { Endpoint, EndpointPicker, RequestEvent, RequestState } from '@redwingcrank/decisions';
import {
  EndpointHealth,
  RequestQueue,
  RetryBudget,
  SEND_EVENTS,
  ServiceRate,
  maySend,
  unansweredOutcome,
  requestChart,
} from '@redwingcrank/decisions';
import type { EndpointPool } from './endpoint-pool.js';
import type { EntryMetrics } from './entry-metrics.js';
import type { ForwardRequest, ForwardResult } from './forward.js';
import { forward } from './forward.js';
import { RequestError } from './problem.js';

/** One request on its way, with all that decides about it. */
export interface RelayedRequest {
  readonly service: Service;
  readonly idempotent: boolean;
  readonly request: ForwardRequest;
  /** On the clock of `performance.now()`. */
  readonly deadlineAt: number;
  /** Gives the request up: its time is over, or its caller has gone. */
  readonly signal: AbortSignal;
}

/** The endpoints of a service, nearest first: each list is tried when those before are full. */
export type EndpointLookup = (service: Service) => readonly (readonly Endpoint[])[];

export interface DispatcherOptions {
  readonly pool: EndpointPool;
  readonly picker: EndpointPicker;
  readonly metrics: EntryMetrics;
  readonly endpoints: EndpointLookup;
}

/** A request goes to so many endpoints at most. */
const MAX_SENDS = 3;

/**
 * A send without a sign of life for so many times the usual is taken for a silent connection, and
 * at the latest at half of the time that is left, so that another send can still be in time.
 */
const SILENCE_FACTOR = 8;

const MIN_SILENCE_MS = 300;

/** When to come back where there is no endpoint at all. */
const NO_ENDPOINT_RETRY_S = 1;

interface Waiter {
  readonly passage: RelayedRequest;
  readonly grant: (endpoint: Endpoint) => void;
}

interface ServiceState {
  readonly rate: ServiceRate;
  readonly queue: RequestQueue<Waiter>;
  readonly budget: RetryBudget;
}

/** Brings requests to endpoints: waits for a slot, sends, and sends again where that is safe. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  readonly #health = new EndpointHealth();

  readonly #services = new Map<string, ServiceState>();

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * Sends until there is an answer, the rules forbid another send, or time is up.
   *
   * Invariant: a request that is not idempotent is sent again only after a send that surely did
   * not run. `not-run` is said only if that holds for every send: an idempotent request whose
   * first send was lost and whose second was refused may well have run.
   *
   * @returns The answer; its body is still to be read, and its slot is taken until it closes.
   * @throws RequestError (302, 303, 304, 305)
   */
  async send(passage: RelayedRequest): Promise<http.IncomingMessage> {
    this.#stateOf(passage.service).budget.addRequest();
    const tried = new Set<string>();
    let state = requestChart.initial;
    let last: ForwardResult | undefined;
    let endpoint: Endpoint | undefined = await this.#takeSlot(passage);
    while (endpoint) {
      tried.add(endpoint.address);
      last = await this.#sendOnce(passage, endpoint, tried);
      if (last.type === 'answer') return last.res;
      state = step(step(state, 'send'), SEND_EVENTS[last.type]);
      const again = maySend(state, passage.idempotent);
      endpoint = again ? this.#next(passage, last, tried) : undefined;
    }
    throw errorOf(passage, unansweredOutcome(state), last);
  }

  /** Forgets endpoints that are no more, and looks whether new ones have room. */
  endpointsChanged(addresses: ReadonlySet<string>): void {
    this.#health.retain(addresses);
    this.#options.pool.retain(addresses);
    for (const state of this.#services.values()) this.#pump(state);
  }

  #next(
    passage: RelayedRequest,
    result: ForwardResult,
    tried: ReadonlySet<string>,
  ): Endpoint | undefined {
    if (passage.signal.aborted || tried.size >= MAX_SENDS) return undefined;
    const endpoint = this.#pick(passage, tried);
    if (!endpoint) return undefined;
    // What was never sent burdened nobody; all else is paid for.
    const paid = result.type === 'not-sent' || this.#stateOf(passage.service).budget.takeToken();
    return paid ? this.#occupy(passage.service, endpoint) : undefined;
  }

  async #takeSlot(passage: RelayedRequest): Promise<Endpoint> {
    const { service } = passage;
    const { queue } = this.#stateOf(service);
    // Whoever waits already goes first.
    const endpoint = queue.length === 0 ? this.#pick(passage, new Set()) : undefined;
    if (endpoint) return this.#occupy(service, endpoint);
    const capacity = this.#capacityOf(service);
    if (capacity > 0) return this.#wait(passage, capacity);
    throw new RequestError('noEndpoint', `${service.name}: no endpoint`, 'not-run', {
      retryAfterS: NO_ENDPOINT_RETRY_S,
    });
  }

  #wait(passage: RelayedRequest, capacity: number): Promise<Endpoint> {
    const { service, signal, deadlineAt } = passage;
    const { queue } = this.#stateOf(service);
    return new Promise((resolve, reject) => {
      const refuse = (retryAfterS: number): void => {
        const detail = `${service.name}: ${queue.length} requests wait`;
        reject(new RequestError('overloaded', detail, 'not-run', { retryAfterS }));
      };
      let timer: NodeJS.Timeout | undefined;
      const waiter: Waiter = {
        passage,
        grant: (endpoint) => {
          clearTimeout(timer);
          resolve(endpoint);
        },
      };
      const now = performance.now();
      const admission = queue.offer(waiter, deadlineAt, capacity, now);
      if (admission.type === 'refused') {
        refuse(admission.retryAfterS);
        return;
      }
      this.#options.metrics.setWaiting(service.name, queue.length);
      const leave = (): void => {
        clearTimeout(timer);
        queue.remove(waiter);
        this.#options.metrics.setWaiting(service.name, queue.length);
        refuse(queue.retryAfterS(capacity));
      };
      timer = setTimeout(leave, admission.giveUpAt - now);
      signal.addEventListener('abort', leave, { once: true });
    });
  }

  /** Hands free slots to those who wait. */
  #pump({ queue }: ServiceState): void {
    for (let waiter = queue.peek(); waiter; waiter = queue.peek()) {
      const endpoint = this.#pick(waiter.passage, new Set());
      if (!endpoint) return;
      queue.take();
      this.#options.metrics.setWaiting(waiter.passage.service.name, queue.length);
      waiter.grant(this.#occupy(waiter.passage.service, endpoint));
    }
  }

  #occupy(service: Service, endpoint: Endpoint): Endpoint {
    this.#options.pool.get(endpoint, service).inFlight += 1;
    this.#health.sent(endpoint.address, performance.now());
    return endpoint;
  }

  async #sendOnce(
    passage: RelayedRequest,
    endpoint: Endpoint,
    tried: ReadonlySet<string>,
  ): Promise<ForwardResult> {
    const { service, request, signal } = passage;
    const state = this.#stateOf(service);
    const pooled = this.#options.pool.get(endpoint, service);
    const startedAt = performance.now();
    const send = new AbortController();
    const giveUp = (): void => send.abort();
    if (signal.aborted) giveUp();
    signal.addEventListener('abort', giveUp, { once: true });
    const unusualMs = Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * (state.rate.meanMs ?? 0));
    const watch = setTimeout(
      () => this.#silent(passage, endpoint, tried, giveUp),
      Math.min(unusualMs, (passage.deadlineAt - startedAt) / 2),
    );
    const result = await forward(pooled, endpoint.address, request, send.signal);
    clearTimeout(watch);
    this.#options.metrics.countSend(result.type);
    this.#learn(endpoint, result, performance.now() - startedAt, send.signal.aborted);
    const release = (): void => {
      signal.removeEventListener('abort', giveUp);
      pooled.inFlight -= 1;
      this.#pump(state);
    };
    if (result.type === 'answer') {
      result.res.once('close', () => {
        state.rate.sample(performance.now() - startedAt);
        release();
      });
    } else {
      release();
    }
    return result;
  }

  /**
   * A connection without a sign of life may be silent for good. An idempotent request goes
   * elsewhere while that has room and the budget allows; any other waits on until its deadline,
   * since its answer may yet come and it cannot be sent again.
   */
  #silent(
    passage: RelayedRequest,
    endpoint: Endpoint,
    tried: ReadonlySet<string>,
    giveUp: () => void,
  ): void {
    this.#health.silent(endpoint.address, performance.now());
    const { budget } = this.#stateOf(passage.service);
    const elsewhere =
      passage.idempotent && tried.size < MAX_SENDS && this.#pick(passage, tried) !== undefined;
    if (elsewhere && budget.hasToken) giveUp();
  }

  #learn(endpoint: Endpoint, result: ForwardResult, ms: number, gaveUp: boolean): void {
    const { address } = endpoint;
    const now = performance.now();
    if (result.type === 'answer' || result.type === 'not-run') {
      this.#health.answered(address, ms, now);
    } else if (result.type === 'not-sent' && !gaveUp) {
      this.#health.refused(address, now);
    } else if (!gaveUp) {
      this.#health.silent(address, now);
    }
  }

  /** Nearest first; other data centres are looked at only when the nearest have no room. */
  #pick(passage: RelayedRequest, tried: ReadonlySet<string>): Endpoint | undefined {
    const groups = this.#options.endpoints(passage.service);
    const now = performance.now();
    let healthy = false;
    for (const group of groups) {
      const usable = group.filter((endpoint) => this.#isUsable(endpoint, passage.idempotent, now));
      healthy ||= usable.length > 0;
      const endpoint = this.#pickOf(usable, passage, tried, now);
      if (endpoint) return endpoint;
    }
    // With all ejected, one that was ejected is better than none.
    return healthy ? undefined : this.#pickOf(groups.flat(), passage, tried, now);
  }

  #pickOf(
    endpoints: readonly Endpoint[],
    { service }: RelayedRequest,
    tried: ReadonlySet<string>,
    now: number,
  ): Endpoint | undefined {
    const { picker, pool } = this.#options;
    const fresh =
      tried.size === 0 ? endpoints : endpoints.filter(({ address }) => !tried.has(address));
    return picker.pick(fresh, (endpoint) => ({
      inFlight: pool.inFlightOf(endpoint),
      limit: pool.limitOf(endpoint, service),
      latencyMs: this.#health.latencyOf(endpoint.address, now),
    }));
  }

  #isUsable({ address }: Endpoint, idempotent: boolean, now: number): boolean {
    const state = this.#health.stateOf(address, now);
    return state === 'open' || (state === 'probe' && idempotent);
  }

  /** The slots of the endpoints that are not ejected; of all of them where that leaves none. */
  #capacityOf(service: Service): number {
    const all = this.#options.endpoints(service).flat();
    const now = performance.now();
    const usable = all.filter((endpoint) => this.#isUsable(endpoint, false, now));
    const counted = usable.length > 0 ? usable : all;
    return counted.reduce((sum, e) => sum + this.#options.pool.limitOf(e, service), 0);
  }

  #stateOf({ name }: Service): ServiceState {
    const known = this.#services.get(name);
    if (known) return known;
    const rate = new ServiceRate();
    const state = { rate, queue: new RequestQueue<Waiter>(rate), budget: new RetryBudget() };
    this.#services.set(name, state);
    return state;
  }
}

function step(state: RequestState, event: RequestEvent): RequestState {
  const next = requestChart.next(state, event);
  if (next === undefined) throw new Error(`request: ${event} in state ${state}`);
  return next;
}

function errorOf(
  { service, signal }: RelayedRequest,
  outcome: RequestError['outcome'],
  last: ForwardResult | undefined,
): RequestError {
  const reason = last && last.type !== 'answer' ? last.reason : 'no endpoint took it';
  const detail = `${service.name}: ${reason}`;
  if (signal.aborted) return new RequestError('deadlineExceeded', detail, outcome);
  if (outcome === 'unknown') return new RequestError('answerLost', detail, outcome);
  return new RequestError('noEndpoint', detail, outcome, { retryAfterS: NO_ENDPOINT_RETRY_S });
}
