import { createHash } from 'node:crypto';

const WEIGHT_BYTES = 6;

function weight(key: string, candidate: string): number {
  const digest = createHash('sha1').update(`${candidate}\0${key}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}

/**
 * Picks a candidate for a key by rendezvous hashing: all processes with the same candidates pick
 * the same one, and losing a candidate moves only its own keys.
 *
 * @returns The candidate, or undefined if there are no candidates.
 */
export function rendezvous(key: string, candidates: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const candidateWeight = weight(key, candidate);
    if (candidateWeight > bestWeight) {
      best = candidate;
      bestWeight = candidateWeight;
    }
  }
  return best;
}
