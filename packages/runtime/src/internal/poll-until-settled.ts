import { Pause } from './delay.js';

/** Waits for what is under way, and meanwhile calls `look` again and again, so many ms apart. */
export async function pollUntilSettled<T>(
  underWay: Promise<T>,
  everyMs: number,
  look: () => void,
): Promise<T> {
  const settled = new Pause();
  let isUnderWay = true;
  const looking = async (): Promise<void> => {
    while (isUnderWay) {
      await settled.wait(everyMs);
      if (isUnderWay) look();
    }
  };
  const looks = looking();
  try {
    return await underWay;
  } finally {
    isUnderWay = false;
    settled.end();
    await looks;
  }
}
