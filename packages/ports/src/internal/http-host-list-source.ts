import type { HostList } from '@redwingcrank/protocol';
import { hostListSchema } from '@redwingcrank/protocol';
import { HostListSource } from '../host-list-source.js';
import { callJson } from './json-call.js';

/** Fetches the host list over HTTP. */
export class HttpHostListSource extends HostListSource {
  readonly #url: string;

  readonly #timeoutMs: number;

  constructor(baseUrl: string, timeoutMs: number) {
    super();
    this.#url = `${baseUrl}/hosts`;
    this.#timeoutMs = timeoutMs;
  }

  override list(): Promise<HostList> {
    return callJson({
      url: this.#url,
      method: 'GET',
      timeoutMs: this.#timeoutMs,
      schema: hostListSchema,
      failure: 'workerUnavailable',
    });
  }
}
