import { z } from 'zod';

/** One event of the timeline. Its `hlc` stamp orders the events of all processes. */
export const timelineEventSchema = z.object({
  hlc: z.string(),
  node: z.string(),
  event: z.string(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

export type TimelineEvent = z.infer<typeof timelineEventSchema>;

/** The fields of an event or a log line. */
export type EventFields = Record<string, string | number | boolean>;
