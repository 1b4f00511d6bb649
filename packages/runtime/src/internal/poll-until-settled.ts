import { Pause } from './delay.js';

/** Waits until `pending` is settled and calls `poll` at the given interval meanwhile. */
export async function pollUntilSettled<T>(
  pending: Promise<T>,
  intervalMs: number,
  poll: () => void,
): Promise<T> {
  const settled = new Pause();
  let isPending = true;
  const pollLoop = async (): Promise<void> => {
    while (isPending) {
      await settled.wait(intervalMs);
      if (isPending) poll();
    }
  };
  const polling = pollLoop();
  try {
    return await pending;
  } finally {
    isPending = false;
    settled.end();
    await polling;
  }
}
