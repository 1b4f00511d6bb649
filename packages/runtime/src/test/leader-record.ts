import type { LeaderRecord } from '../internal/work-records.js';

/** Returns a claim, the first record of a leader's term, with the given fields replaced. */
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
