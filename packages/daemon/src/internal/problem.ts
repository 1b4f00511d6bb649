import type http from 'node:http';
import type { Outcome, ResultCodeKey } from '@redwingcrank/protocol';
import { CodedError } from '@redwingcrank/protocol';

export interface RequestErrorOptions {
  /** Whole seconds after which to retry, for temporary refusals. */
  readonly retryAfterS?: number | undefined;
  /**
   * Whether this send ran nothing. With an idempotency key, `outcome` describes the key, which an
   * earlier send may have run.
   */
  readonly thisSendNotRun?: boolean | undefined;
}

/** An error for a request that gets no answer from an endpoint. */
export class RequestError extends CodedError {
  readonly retryAfterS: number | undefined;

  readonly thisSendNotRun: boolean;

  override readonly outcome: Outcome;

  readonly key: ResultCodeKey;

  constructor(
    key: ResultCodeKey,
    detail: string,
    outcome: Outcome,
    options: RequestErrorOptions = {},
  ) {
    super(key, detail, outcome);
    this.key = key;
    this.outcome = outcome;
    this.retryAfterS = options.retryAfterS;
    this.thisSendNotRun = options.thisSendNotRun ?? outcome === 'not-run';
  }
}

/**
 * Answers a request with an RFC 9457 problem: the numbered code, the outcome of the request, and
 * when to retry.
 */
export function sendProblem(
  res: http.ServerResponse,
  err: CodedError,
  headers: http.OutgoingHttpHeaders,
): void {
  if (res.headersSent) {
    // Part of an answer is sent: only destroying the connection shows that it is incomplete.
    res.destroy();
    return;
  }
  const { result, outcome, message } = err;
  const retryAfterS = err instanceof RequestError ? err.retryAfterS : undefined;
  const thisSend = err instanceof RequestError && err.thisSendNotRun ? 'not-run' : outcome;
  res.writeHead(result.status, {
    'content-type': 'application/problem+json',
    ...(retryAfterS !== undefined && { 'retry-after': String(retryAfterS) }),
    ...headers,
  });
  res.end(
    JSON.stringify({
      type: `urn:redwingcrank:code:${result.code}`,
      title: result.summary,
      status: result.status,
      detail: message,
      code: result.code,
      outcome,
      thisSend,
    }),
  );
}
