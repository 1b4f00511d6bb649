import type { PlatformLog } from '@redwingcrank/ports';
import { sleep } from './sleep.js';

const RETRY_PAUSE_MS = 1_000;

/**
 * The process that had this node's name before.
 * - `nobody`: this process is the first.
 * - `known`: the direct predecessor.
 * - `unknown`: there were predecessors, but their records have expired.
 */
export type Predecessor =
  | { readonly type: 'nobody' | 'unknown' }
  | { readonly type: 'known'; readonly incarnation: string };

/**
 * Registers this process in the log and returns its predecessor. Each process registers before it
 * runs any key, so every process that ran keys has a record. Retries until the log answers.
 */
export async function registerIncarnation(
  log: PlatformLog,
  nodeId: string,
  incarnation: string,
): Promise<Predecessor> {
  const stream = `entry-${nodeId}`;
  for (;;) {
    try {
      // A second copy of this record, after a lost answer, changes nothing.
      await log.append(stream, { type: 'entry-started', incarnation });
      return await findPredecessor(log, stream, incarnation);
    } catch {
      await sleep(RETRY_PAUSE_MS);
    }
  }
}

/**
 * Finds the predecessor by the first record of each process. A second copy of a record may be
 * appended late, after the records of successors, and would make a process that ended long before
 * look like the predecessor.
 */
async function findPredecessor(
  log: PlatformLog,
  stream: string,
  incarnation: string,
): Promise<Predecessor> {
  const seen = new Set<string>();
  let last: string | undefined;
  let from = 0;
  let complete = true;
  for (;;) {
    const { entries, first, next } = await log.read(stream, from, 0);
    if (first > from) complete = false;
    for (const { value } of entries) {
      const found = (value as { readonly incarnation?: string }).incarnation ?? '';
      if (found === incarnation) return toPredecessor(last, complete);
      if (!seen.has(found)) last = found;
      seen.add(found);
    }
    if (entries.length === 0) return { type: 'unknown' };
    from = next;
  }
}

function toPredecessor(last: string | undefined, complete: boolean): Predecessor {
  // Once older records have expired, a late copy cannot be distinguished from a first record.
  if (!complete) return { type: 'unknown' };
  return last === undefined ? { type: 'nobody' } : { type: 'known', incarnation: last };
}
