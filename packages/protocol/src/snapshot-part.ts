import { z } from 'zod';

/**
 * The most characters of state in one part. A record stays well under 256 KiB, also where every
 * character of it has to be escaped once.
 */
export const MAX_SNAPSHOT_PART_CHARS = 65_536;

/** A state of more parts than this is not written: it would be 64 MiB. */
export const MAX_SNAPSHOT_PARTS = 1_024;

/**
 * One part of a snapshot: the state that a reader has once it has read all records up to `upTo`.
 * A snapshot counts only when all its parts stand on the log.
 */
export const snapshotPartSchema = z.strictObject({
  type: z.literal('snapshot-part'),
  /** The same in all parts of one snapshot. */
  id: z.string().max(100),
  part: z.int().min(0),
  parts: z.int().min(1).max(MAX_SNAPSHOT_PARTS),
  upTo: z.int().min(-1),
  /** A slice of the state's JSON text. */
  data: z.string().max(MAX_SNAPSHOT_PART_CHARS),
});

export type SnapshotPart = z.infer<typeof snapshotPartSchema>;
