import { z } from 'zod';

/**
 * The maximum number of characters of state in one part. It keeps a record well below 256 KiB even
 * if every character has to be escaped once.
 */
export const MAX_SNAPSHOT_PART_CHARS = 65_536;

/** The maximum number of parts, about 64 MiB of state. A larger state is not written. */
export const MAX_SNAPSHOT_PARTS = 1_024;

/**
 * One part of a snapshot, which holds the state after all records up to `upTo` have been folded.
 * Readers ignore a snapshot until all its parts are on the log.
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
