import { z } from 'zod';

/** The state that two nodes send each other with every exchange. */
export const helloSchema = z.object({
  nodeId: z.string(),
  dataCentre: z.string(),
  /** Changes when the process restarts and loses its state, including its acknowledgements. */
  incarnation: z.string(),
  roles: z.array(z.string()),
  draining: z.boolean(),
  manifestVersion: z.int(),
  /** The offset of the last folded record of the control stream; -1 before the first. */
  controlOffset: z.int(),
  /** Whether the sender may renew all leases: it has joined and has read the log recently. */
  tending: z.boolean().default(true),
  /** Hosts whose workers did not answer the sender recently. Another node maintains their leases. */
  unreachable: z.array(z.string()).max(10_000).default([]),
  hlc: z.string(),
});

export type Hello = z.infer<typeof helloSchema>;
