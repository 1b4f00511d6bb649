import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';

/** A source of random integers. It is seeded, so that every decision can be reproduced. */
export interface RandomSource {
  /** Returns an integer from `from` to `to`, both inclusive. */
  int(from: number, to: number): number;
}

/** @param seed - The same seed produces the same sequence of numbers. */
export function seededRandom(seed: number): RandomSource {
  const generator = xorshift128plus(seed);
  return { int: (from, to) => uniformInt(generator, from, to) };
}
