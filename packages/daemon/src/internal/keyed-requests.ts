import { createHash } from 'node:crypto';
import type http from 'node:http';
import type { KeyedAnswer, KeyedRequest } from '@redwingcrank/protocol';
import type { EntryHost } from '@redwingcrank/decisions';
import { keyHome } from '@redwingcrank/decisions';
import type { RelayedRequest } from './dispatcher.js';
import type { KeyHomeTask } from './key-home-task.js';
import { RequestError } from './problem.js';

/** Sends keyed requests to their home on another node. */
export interface KeyHomeClient {
  /** Returns whether the node has been heard before, but not within the silence limit. */
  silent(nodeId: string): boolean;
  /** @throws Error if no answer came; its chain of causes shows whether there was a connection. */
  runKeyed(nodeId: string, call: KeyedRequest, signal: AbortSignal): Promise<KeyedAnswer>;
}

export interface KeyedRequestsOptions {
  readonly nodeId: string;
  /** All entry hosts in the settings, including this one. */
  readonly hosts: readonly EntryHost[];
  readonly home: KeyHomeTask;
  readonly homeClient: KeyHomeClient;
}

/** The idempotency key of a request, as the caller sent it. */
export interface IdempotencyKey {
  readonly key: string;
  readonly ageMs: number | undefined;
}

/** Returns a digest that differs for lists from which hosts could choose different homes. */
export function digestOfHosts(hosts: readonly EntryHost[]): string {
  const names = hosts.map(({ nodeId, dataCentre }) => `${dataCentre}/${nodeId}`).sort();
  return createHash('sha256').update(names.join('\n')).digest('hex');
}

/**
 * Sends requests with an idempotency key to the home of the key.
 *
 * Invariant: only the home runs a key. If the home is unreachable, no other host runs the key
 * instead, because it cannot know whether the home has run it or is running it beyond a network
 * partition.
 */
export class KeyedRequests {
  readonly #options: KeyedRequestsOptions;

  readonly #hostsDigest: string;

  constructor(options: KeyedRequestsOptions) {
    this.#options = options;
    this.#hostsDigest = digestOfHosts(options.hosts);
  }

  /**
   * Sends a request to the home of its key and returns the answer.
   *
   * @throws RequestError (305, 309 to 312, and every code of a request without a key)
   */
  async send({ key, ageMs }: IdempotencyKey, relayed: RelayedRequest): Promise<KeyedAnswer> {
    const { service, request, deadlineAt } = relayed;
    const call: KeyedRequest = {
      key,
      ...(ageMs !== undefined && { ageMs }),
      fingerprint: fingerprintOf(relayed),
      hostsDigest: this.#hostsDigest,
      service: service.name,
      method: request.method,
      path: request.path,
      headers: request.headers as Record<string, string | string[]>,
      body: request.body.toString('base64'),
      leftMs: Math.max(0, deadlineAt - performance.now()),
    };
    const answer = await this.#callHome(call, relayed.signal);
    if (answer.type === 'answer') return answer;
    const { code, detail, outcome, thisSendNotRun, retryAfterS } = answer;
    throw new RequestError(code, detail, outcome, { thisSendNotRun, retryAfterS });
  }

  async #callHome(call: KeyedRequest, signal: AbortSignal): Promise<KeyedAnswer> {
    const { nodeId, hosts, home, homeClient } = this.#options;
    const homeId = keyHome(call.key, hosts) ?? nodeId;
    if (homeId === nodeId) return home.answer(call);
    if (homeClient.silent(homeId)) throw unreachable(homeId, 'it is silent', true);
    try {
      return await homeClient.runKeyed(homeId, call, signal);
    } catch (err) {
      if (signal.aborted) {
        throw new RequestError('deadlineExceeded', `no answer of ${homeId}`, 'unknown');
      }
      const reason = err instanceof Error ? err.message : String(err);
      throw unreachable(homeId, reason, isNeverConnected(err));
    }
  }
}

/**
 * Returns whether a call failed before anything was sent. The outcome is `unknown` even then: it
 * describes the key, which an earlier send may have run.
 */
function isNeverConnected(err: unknown): boolean {
  for (let cause = err; cause instanceof Error; cause = cause.cause) {
    if ((cause as NodeJS.ErrnoException).code === 'ECONNREFUSED') return true;
  }
  return false;
}

function unreachable(homeId: string, reason: string, thisSendNotRun: boolean): RequestError {
  const detail = `the key's home ${homeId}: ${reason}`;
  return new RequestError('keyHomeUnreachable', detail, 'unknown', { thisSendNotRun });
}

/**
 * Returns a digest of all that makes two requests the same. It includes the caller's credentials,
 * so that no caller gets the answer to another's request.
 */
function fingerprintOf({ service, request }: RelayedRequest): string {
  const { authorization, cookie } = request.headers as http.IncomingHttpHeaders;
  const head = JSON.stringify([service.name, request.method, request.path, authorization, cookie]);
  return createHash('sha256').update(head).update(request.body).digest('hex');
}
