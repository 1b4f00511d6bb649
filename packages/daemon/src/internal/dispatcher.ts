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

/** A request in flight, with the settings that decide how it may be sent. */
export interface RelayedRequest {
  readonly service: Service;
  readonly idempotent: boolean;
  readonly request: ForwardRequest;
  /** Milliseconds on the clock of `performance.now()`. */
  readonly deadlineAt: number;
  /** Aborts the request when its deadline has passed or its caller has disconnected. */
  readonly signal: AbortSignal;
}

/** Returns the endpoints of a service, nearest first; a list is used if those before are full. */
export type EndpointLookup = (service: Service) => readonly (readonly Endpoint[])[];

export interface DispatcherOptions {
  readonly pool: EndpointPool;
  readonly picker: EndpointPicker;
  readonly metrics: EntryMetrics;
  readonly endpoints: EndpointLookup;
}

/** A request is sent to this many endpoints at most. */
const MAX_SENDS = 3;

/**
 * A send counts as silent when it has had no answer for this many times the service's mean time,
 * and at the latest at half of the remaining time, so that another send can meet the deadline.
 */
const SILENCE_FACTOR = 8;

const MIN_SILENCE_MS = 300;

/** Retry-After in seconds when a service has no endpoint. */
const NO_ENDPOINT_RETRY_S = 1;

interface Waiter {
  readonly relayed: RelayedRequest;
  readonly grant: (endpoint: Endpoint) => void;
}

interface ServiceState {
  readonly rate: ServiceRate;
  readonly queue: RequestQueue<Waiter>;
  readonly budget: RetryBudget;
}

/** Sends requests to endpoints: waits for a slot, sends, and retries where that is safe. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  readonly #health = new EndpointHealth();

  readonly #services = new Map<string, ServiceState>();

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * Sends a request until there is an answer, the rules forbid another send, or the deadline has
   * passed.
   *
   * Invariant: a request that is not idempotent is sent again only if the previous send certainly
   * did not run. The outcome is `not-run` only if that holds for every send: an idempotent request
   * whose first send was lost and whose second was refused may have run.
   *
   * @returns The answer. Its body is still to be read, and its slot stays in use until it closes.
   * @throws RequestError (302, 303, 304, 305)
   */
  async send(relayed: RelayedRequest): Promise<http.IncomingMessage> {
    this.#stateOf(relayed.service).budget.addRequest();
    const tried = new Set<string>();
    let state = requestChart.initial;
    let last: ForwardResult | undefined;
    let endpoint: Endpoint | undefined = await this.#takeSlot(relayed);
    while (endpoint) {
      tried.add(endpoint.address);
      last = await this.#sendOnce(relayed, endpoint, tried);
      if (last.type === 'answer') return last.res;
      state = transition(transition(state, 'send'), SEND_EVENTS[last.type]);
      const mayRetry = maySend(state, relayed.idempotent);
      endpoint = mayRetry ? this.#nextEndpoint(relayed, last, tried) : undefined;
    }
    throw errorOf(relayed, unansweredOutcome(state), last);
  }

  /** Forgets removed endpoints, and assigns the free slots of new ones to waiting requests. */
  endpointsChanged(addresses: ReadonlySet<string>): void {
    this.#health.retain(addresses);
    this.#options.pool.retain(addresses);
    for (const state of this.#services.values()) this.#assignSlots(state);
  }

  #nextEndpoint(
    relayed: RelayedRequest,
    result: ForwardResult,
    tried: ReadonlySet<string>,
  ): Endpoint | undefined {
    if (relayed.signal.aborted || tried.size >= MAX_SENDS) return undefined;
    const endpoint = this.#pick(relayed, tried);
    if (!endpoint) return undefined;
    // A send that never reached an endpoint cost it nothing; any other retry takes a token.
    const permitted =
      result.type === 'not-sent' || this.#stateOf(relayed.service).budget.takeToken();
    return permitted ? this.#occupy(relayed.service, endpoint) : undefined;
  }

  async #takeSlot(relayed: RelayedRequest): Promise<Endpoint> {
    const { service } = relayed;
    const { queue } = this.#stateOf(service);
    // Requests that already wait come first.
    const endpoint = queue.length === 0 ? this.#pick(relayed, new Set()) : undefined;
    if (endpoint) return this.#occupy(service, endpoint);
    const capacity = this.#capacityOf(service);
    if (capacity > 0) return this.#wait(relayed, capacity);
    throw new RequestError('noEndpoint', `${service.name}: no endpoint`, 'not-run', {
      retryAfterS: NO_ENDPOINT_RETRY_S,
    });
  }

  #wait(relayed: RelayedRequest, capacity: number): Promise<Endpoint> {
    const { service, signal, deadlineAt } = relayed;
    const { queue } = this.#stateOf(service);
    return new Promise((resolve, reject) => {
      const refuse = (retryAfterS: number): void => {
        const detail = `${service.name}: ${queue.length} requests wait`;
        reject(new RequestError('overloaded', detail, 'not-run', { retryAfterS }));
      };
      let timer: NodeJS.Timeout | undefined;
      const waiter: Waiter = {
        relayed,
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
      const abandon = (): void => {
        clearTimeout(timer);
        queue.remove(waiter);
        this.#options.metrics.setWaiting(service.name, queue.length);
        refuse(queue.retryAfterS(capacity));
      };
      timer = setTimeout(abandon, admission.giveUpAt - now);
      signal.addEventListener('abort', abandon, { once: true });
    });
  }

  /** Assigns free slots to waiting requests. */
  #assignSlots({ queue }: ServiceState): void {
    for (let waiter = queue.peek(); waiter; waiter = queue.peek()) {
      const endpoint = this.#pick(waiter.relayed, new Set());
      if (!endpoint) return;
      queue.take();
      this.#options.metrics.setWaiting(waiter.relayed.service.name, queue.length);
      waiter.grant(this.#occupy(waiter.relayed.service, endpoint));
    }
  }

  #occupy(service: Service, endpoint: Endpoint): Endpoint {
    this.#options.pool.get(endpoint, service).inFlight += 1;
    this.#health.sent(endpoint.address, performance.now());
    return endpoint;
  }

  async #sendOnce(
    relayed: RelayedRequest,
    endpoint: Endpoint,
    tried: ReadonlySet<string>,
  ): Promise<ForwardResult> {
    const { service, request, signal } = relayed;
    const state = this.#stateOf(service);
    const pooled = this.#options.pool.get(endpoint, service);
    const startedAt = performance.now();
    const send = new AbortController();
    const abortSend = (): void => send.abort();
    if (signal.aborted) abortSend();
    signal.addEventListener('abort', abortSend, { once: true });
    const silenceMs = Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * (state.rate.meanMs ?? 0));
    const silenceTimer = setTimeout(
      () => this.#onSilent(relayed, endpoint, tried, abortSend),
      Math.min(silenceMs, (relayed.deadlineAt - startedAt) / 2),
    );
    const result = await forward(pooled, endpoint.address, request, send.signal);
    clearTimeout(silenceTimer);
    this.#options.metrics.countSend(result.type);
    this.#recordHealth(endpoint, result, performance.now() - startedAt, send.signal.aborted);
    const release = (): void => {
      signal.removeEventListener('abort', abortSend);
      pooled.inFlight -= 1;
      this.#assignSlots(state);
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
   * Handles a send that has had no answer for long; its connection may be dead. An idempotent
   * request goes to another endpoint that has a free slot, if the retry budget allows it. Any other
   * request waits until its deadline: its answer may still come, and it cannot be sent again.
   */
  #onSilent(
    relayed: RelayedRequest,
    endpoint: Endpoint,
    tried: ReadonlySet<string>,
    abortSend: () => void,
  ): void {
    this.#health.silent(endpoint.address, performance.now());
    const { budget } = this.#stateOf(relayed.service);
    const hasAlternative =
      relayed.idempotent && tried.size < MAX_SENDS && this.#pick(relayed, tried) !== undefined;
    if (hasAlternative && budget.hasToken) abortSend();
  }

  #recordHealth(endpoint: Endpoint, result: ForwardResult, ms: number, wasAborted: boolean): void {
    const { address } = endpoint;
    const now = performance.now();
    if (result.type === 'answer' || result.type === 'not-run') {
      this.#health.answered(address, ms, now);
    } else if (result.type === 'not-sent' && !wasAborted) {
      this.#health.refused(address, now);
    } else if (!wasAborted) {
      this.#health.silent(address, now);
    }
  }

  /** Picks an endpoint; other data centres are used only if the nearest have no free slot. */
  #pick(relayed: RelayedRequest, tried: ReadonlySet<string>): Endpoint | undefined {
    const groups = this.#options.endpoints(relayed.service);
    const now = performance.now();
    let healthy = false;
    for (const group of groups) {
      const usable = group.filter((endpoint) => this.#isUsable(endpoint, relayed.idempotent, now));
      healthy ||= usable.length > 0;
      const endpoint = this.#pickFrom(usable, relayed, tried, now);
      if (endpoint) return endpoint;
    }
    // If all endpoints are ejected, an ejected one is better than no endpoint.
    return healthy ? undefined : this.#pickFrom(groups.flat(), relayed, tried, now);
  }

  #pickFrom(
    endpoints: readonly Endpoint[],
    { service }: RelayedRequest,
    tried: ReadonlySet<string>,
    now: number,
  ): Endpoint | undefined {
    const { picker, pool } = this.#options;
    const untried =
      tried.size === 0 ? endpoints : endpoints.filter(({ address }) => !tried.has(address));
    return picker.pick(untried, (endpoint) => ({
      inFlight: pool.inFlightOf(endpoint),
      limit: pool.limitOf(endpoint, service),
      latencyMs: this.#health.latencyOf(endpoint.address, now),
    }));
  }

  #isUsable({ address }: Endpoint, idempotent: boolean, now: number): boolean {
    const state = this.#health.stateOf(address, now);
    return state === 'open' || (state === 'probe' && idempotent);
  }

  /** Returns the slots of all endpoints that are not ejected, or of all if every one is ejected. */
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

function transition(state: RequestState, event: RequestEvent): RequestState {
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
