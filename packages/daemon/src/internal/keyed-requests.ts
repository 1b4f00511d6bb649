import { createHash } from 'node:crypto';
import type http from 'node:http';
import type { KeyedAnswer, KeyedRequest } from '@redwingcrank/protocol';
import type { EntryHost } from '@redwingcrank/decisions';
import { keyHome } from '@redwingcrank/decisions';
import type { RelayedRequest } from './dispatcher.js';
import type { KeyHomeTask } from './key-home-task.js';
import { RequestError } from './problem.js';

/** How a keyed request reaches its home on another node. */
export interface KeyHomeClient {
  /** Whether the node has been heard from before, but not of late. */
  silent(nodeId: string): boolean;
  /** @throws Error where no answer came; its causes tell whether there was a connection. */
  runKeyed(nodeId: string, call: KeyedRequest, signal: AbortSignal): Promise<KeyedAnswer>;
}

export interface KeyedRequestsOptions {
  readonly nodeId: string;
  /** All entry hosts by the settings, this one included. */
  readonly hosts: readonly EntryHost[];
  readonly home: KeyHomeTask;
  readonly homeClient: KeyHomeClient;
}

/** What the caller said about the key. */
export interface IdempotencyKey {
  readonly key: string;
  readonly ageMs: number | undefined;
}

/** A digest that differs wherever two hosts could choose different homes. */
export function digestOfHosts(hosts: readonly EntryHost[]): string {
  const names = hosts.map(({ nodeId, dataCentre }) => `${dataCentre}/${nodeId}`).sort();
  return createHash('sha256').update(names.join('\n')).digest('hex');
}

/**
 * Brings requests with an idempotency key to the key's home.
 *
 * Invariant: only the home runs a key. Where it cannot be reached, no other host stands in:
 * none of them knows whether the home has run the key, or is running it behind a cut.
 */
export class KeyedRequests {
  readonly #options: KeyedRequestsOptions;

  readonly #hostsDigest: string;

  constructor(options: KeyedRequestsOptions) {
    this.#options = options;
    this.#hostsDigest = digestOfHosts(options.hosts);
  }

  /** @throws RequestError (305, 309 to 312, and all that an unkeyed request may get) */
  async send({ key, ageMs }: IdempotencyKey, passage: RelayedRequest): Promise<KeyedAnswer> {
    const { service, request, deadlineAt } = passage;
    const call: KeyedRequest = {
      key,
      ...(ageMs !== undefined && { ageMs }),
      fingerprint: fingerprintOf(passage),
      hostsDigest: this.#hostsDigest,
      service: service.name,
      method: request.method,
      path: request.path,
      headers: request.headers as Record<string, string | string[]>,
      body: request.body.toString('base64'),
      leftMs: Math.max(0, deadlineAt - performance.now()),
    };
    const answer = await this.#atHome(call, passage.signal);
    if (answer.type === 'answer') return answer;
    const { code, detail, outcome, thisSendNotRun, retryAfterS } = answer;
    throw new RequestError(code, detail, outcome, { thisSendNotRun, retryAfterS });
  }

  async #atHome(call: KeyedRequest, signal: AbortSignal): Promise<KeyedAnswer> {
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
 * Whether a hop failed before anything was sent. The outcome is `unknown` all the same: it tells
 * of the key, which an earlier send may have run.
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

/** Everything that makes two requests the same one, with who asks: no caller gets another's answer. */
function fingerprintOf({ service, request }: RelayedRequest): string {
  const { authorization, cookie } = request.headers as http.IncomingHttpHeaders;
  const head = JSON.stringify([service.name, request.method, request.path, authorization, cookie]);
  return createHash('sha256').update(head).update(request.body).digest('hex');
}
