import { z } from 'zod';

/** A record of the platform's log with its offset in the stream. */
export const logEntrySchema = z.object({ offset: z.int().min(0), value: z.unknown() });

/** An answer to a read. `first` is the oldest offset retained, `next` the next offset to read. */
export const logPageSchema = z.object({
  entries: z.array(logEntrySchema),
  first: z.int().min(0),
  next: z.int().min(0),
});

export const appendResponseSchema = z.object({ offset: z.int().min(0) });

export type LogEntry = z.infer<typeof logEntrySchema>;
export type LogPage = z.infer<typeof logPageSchema>;
