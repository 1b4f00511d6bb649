import { z } from 'zod';

export const REJECTION_REASONS = ['invalid', 'conflict', 'repeated', 'foreign'] as const;

/** The reason why a manifest on the log did not come into force. */
export const manifestRejectionSchema = z.object({
  offset: z.int().min(0),
  id: z.string(),
  reason: z.enum(REJECTION_REASONS),
  detail: z.string(),
});

/** The complete state of a manifest fold as plain data, as of `offset`. */
export const manifestSnapshotSchema = z.object({
  offset: z.int().min(-1),
  acceptedId: z.string().optional(),
  /** The manifest in force; absent before the first manifest. */
  manifest: z.unknown().optional(),
  rejections: z.array(manifestRejectionSchema),
});

export type ManifestRejection = z.infer<typeof manifestRejectionSchema>;
export type ManifestSnapshot = z.infer<typeof manifestSnapshotSchema>;
