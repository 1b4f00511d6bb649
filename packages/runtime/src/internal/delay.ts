/**
 * A timer for consecutive waits, each of which can be ended early. Use it for waits that usually
 * are: a wait that an `AbortSignal` ends creates a signal and two exceptions with stack traces, and
 * the leader ends hundreds of waits per second, which took a tenth of its processor time.
 */
export class Pause {
  #timer: NodeJS.Timeout | undefined;

  #resolve: (() => void) | undefined;

  /** Waits for the given time or until `end` is called. Only one wait may be pending at a time. */
  wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#timer = setTimeout(resolve, ms);
    });
  }

  /** Ends the pending wait; later waits are not affected. */
  end(): void {
    clearTimeout(this.#timer);
    this.#resolve?.();
  }
}

/** Waits for the given time or until the signal is aborted; never throws. */
export async function delay(ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return;
  const pause = new Pause();
  const end = (): void => pause.end();
  signal.addEventListener('abort', end);
  await pause.wait(ms);
  signal.removeEventListener('abort', end);
}

/** Returns the time of the steady (monotonic) clock, in milliseconds. */
export function steadyMs(): number {
  return performance.now();
}
