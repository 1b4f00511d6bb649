import { z } from 'zod';

// The objects are loose so that an older reader keeps fields that a later version adds to a host
// or a task.
const hostSnapshotSchema = z.looseObject({
  hostId: z.string(),
  committed: z.looseObject({}),
  tasks: z.array(z.string()),
});

const taskSnapshotSchema = z.looseObject({
  taskId: z.string(),
  attempt: z.int().min(1),
  owner: z.string(),
  hostId: z.string(),
});

/** The complete state of a control fold as plain data, as of `offset`. */
export const controlSnapshotSchema = z.object({
  offset: z.int().min(-1),
  term: z.int().min(0),
  holder: z.string().optional(),
  hosts: z.array(hostSnapshotSchema),
  tasks: z.array(taskSnapshotSchema),
  nextIndex: z.array(z.tuple([z.string(), z.int().min(0)])),
  ids: z.array(z.string()),
  /** The nodes that may act on workers; absent in a snapshot of an older version. */
  members: z
    .array(z.object({ nodeId: z.string(), incarnation: z.string(), offset: z.int() }))
    .default([]),
  /** The offset of the last record that ended a membership; -1 before the first. */
  lastLeave: z.int().default(-1),
  /** The offset of the last batch that took effect; -1 before the first. */
  batchOffset: z.int().default(-1),
  lostWork: z
    .object({ resumable: z.number(), afresh: z.number(), lostMs: z.number() })
    .default({ resumable: 0, afresh: 0, lostMs: 0 }),
});

export type ControlSnapshot = z.infer<typeof controlSnapshotSchema>;
