import type http from 'node:http';

/** Aborts a request when its deadline passes or its caller disconnects, whichever is first. */
export class RequestLifetime {
  readonly #abort = new AbortController();

  #timer: NodeJS.Timeout | undefined;

  constructor(res: http.ServerResponse) {
    res.once('close', () => {
      clearTimeout(this.#timer);
      // A request of a disconnected caller must not keep a slot of an endpoint.
      if (!res.writableFinished) this.#abort.abort();
    });
  }

  /** Returns a signal that fires after the given milliseconds or when the caller disconnects. */
  abortAfter(ms: number): AbortSignal {
    this.#timer = setTimeout(() => this.#abort.abort(), ms);
    return this.#abort.signal;
  }
}
