import type { LogPage } from '@redwingcrank/protocol';
import { appendResponseSchema, logPageSchema } from '@redwingcrank/protocol';
import { LOG_PAGE_LIMIT, PlatformLog } from '../platform-log.js';
import { callJson } from './json-call.js';

/** A client of the platform's log over HTTP. */
export class HttpPlatformLog extends PlatformLog {
  readonly #baseUrl: string;

  readonly #timeoutMs: number;

  /** @param timeoutMs - The maximum time for an answer, in addition to the `waitMs` of a read. */
  constructor(baseUrl: string, timeoutMs: number) {
    super();
    this.#baseUrl = baseUrl;
    this.#timeoutMs = timeoutMs;
  }

  override async append(stream: string, record: unknown): Promise<number> {
    const appended = await callJson({
      url: `${this.#baseUrl}/streams/${stream}/records`,
      method: 'POST',
      body: { record },
      timeoutMs: this.#timeoutMs,
      schema: appendResponseSchema,
      failure: 'logUnavailable',
    });
    return appended.offset;
  }

  override read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<LogPage> {
    const query = `from=${from}&waitMs=${waitMs}&limit=${LOG_PAGE_LIMIT}`;
    return callJson({
      url: `${this.#baseUrl}/streams/${stream}/records?${query}`,
      method: 'GET',
      timeoutMs: this.#timeoutMs + waitMs,
      schema: logPageSchema,
      failure: 'logUnavailable',
      signal,
    });
  }
}
