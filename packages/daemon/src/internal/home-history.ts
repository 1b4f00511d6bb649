import type { PlatformLog } from '@redwingcrank/ports';
import { sleep } from './sleep.js';

const RETRY_PAUSE_MS = 1_000;

/**
 * Who had this node's name before.
 * - `nobody`: this process is the first.
 * - `known`: the process that came directly before.
 * - `unknown`: there were some, but their records have expired.
 */
export type Predecessor =
  | { readonly type: 'nobody' | 'unknown' }
  | { readonly type: 'known'; readonly incarnation: string };

/**
 * Puts this process on record and finds out who came before it. Each process does so before it
 * runs any key, so none that ran keys can be missing. Asks until the log answers.
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
      return await predecessorOn(log, stream, incarnation);
    } catch {
      await sleep(RETRY_PAUSE_MS);
    }
  }
}

/**
 * Goes by the first record of each process: a copy may come late, after those of successors, and
 * would make a process the predecessor that ended long before.
 */
async function predecessorOn(
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
      const other = (value as { readonly incarnation?: string }).incarnation ?? '';
      if (other === incarnation) return asPredecessor(last, complete);
      if (!seen.has(other)) last = other;
      seen.add(other);
    }
    if (entries.length === 0) return { type: 'unknown' };
    from = next;
  }
}

function asPredecessor(last: string | undefined, complete: boolean): Predecessor {
  // With older records expired, a late copy cannot be told from a first record.
  if (!complete) return { type: 'unknown' };
  return last === undefined ? { type: 'nobody' } : { type: 'known', incarnation: last };
}
