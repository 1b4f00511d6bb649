const POLL_INTERVAL_MS = 50;

/**
 * Polls a condition until it holds.
 *
 * @throws Error that contains `description` if the condition does not hold within `timeoutMs`.
 */
export async function waitFor(
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > end) throw new Error(`timed out waiting for ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
}
