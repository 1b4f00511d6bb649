import type http from 'node:http';

/** Ends a request when its deadline passes or its caller goes away, whichever is first. */
export class RequestLifetime {
  readonly #end = new AbortController();

  #timer: NodeJS.Timeout | undefined;

  constructor(res: http.ServerResponse) {
    res.once('close', () => {
      clearTimeout(this.#timer);
      // A caller that went away must not keep a slot of an endpoint.
      if (!res.writableFinished) this.#end.abort();
    });
  }

  /** @returns A signal that fires after so many milliseconds, or when the caller is gone. */
  abortAfter(ms: number): AbortSignal {
    this.#timer = setTimeout(() => this.#end.abort(), ms);
    return this.#end.signal;
  }
}
