import type { LeaderRecord } from '../internal/work-records.js';

/** The claim of a node for its term, but for these fields. */
export function leaderRecord(fields: Partial<LeaderRecord> = {}): LeaderRecord {
  return {
    epoch: 2,
    node: 'n1',
    nonce: 'a',
    resigned: false,
    leasesMs: 4_000,
    formerMs: 0,
    silent: {},
    number: 0,
    ...fields,
  };
}
