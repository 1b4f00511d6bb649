/**
 * One wait after another, each of which may be ended early. For waits that usually are: ended by an
 * `AbortSignal`, each makes a signal and two exceptions with their stacks, and the node that
 * schedules ends hundreds a second. It took a tenth of that node's processor time.
 */
export class Pause {
  #timer: NodeJS.Timeout | undefined;

  #resolve: (() => void) | undefined;

  /** Waits so long, or until `end` is called. One wait at a time. */
  wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#timer = setTimeout(resolve, ms);
    });
  }

  /** Ends the wait that is under way; a later one is not touched. */
  end(): void {
    clearTimeout(this.#timer);
    this.#resolve?.();
  }
}

/** Waits, or returns early when the signal is given; never throws. */
export async function delay(ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return;
  const pause = new Pause();
  const end = (): void => pause.end();
  signal.addEventListener('abort', end);
  await pause.wait(ms);
  signal.removeEventListener('abort', end);
}

/** The steady clock, in milliseconds. */
export function steadyMs(): number {
  return performance.now();
}
