/** Waits for the given milliseconds; a pending wait does not keep the process alive. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
