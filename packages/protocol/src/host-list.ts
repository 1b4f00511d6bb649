import { z } from 'zod';
import { resourcesSchema } from './resources.js';

/** A worker's host as shown by the platform's list, which lags behind the actual state. */
export const listedHostSchema = z.object({
  hostId: z.string(),
  dataCentre: z.string(),
  rack: z.string(),
  /** The address of the worker as `ip:port`. */
  address: z.string(),
  capacity: resourcesSchema,
  state: z.enum(['live', 'leaving']),
});

/** The host list. If the platform gives a `version`, it increases with each change. */
export const hostListSchema = z.object({
  hosts: z.array(listedHostSchema),
  version: z.int().optional(),
});

export type HostList = z.infer<typeof hostListSchema>;

export type ListedHost = z.infer<typeof listedHostSchema>;
