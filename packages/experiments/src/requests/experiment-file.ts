import { z } from 'zod';

/** What goes wrong, and when, counted from the start of the load. */
const faultSchema = z.discriminatedUnion('type', [
  /** So many endpoints answer `factor` times slower. */
  z.strictObject({
    type: z.literal('slow'),
    atMs: z.number(),
    endpoints: z.int(),
    factor: z.number(),
  }),
  /** So many endpoints read requests and never answer. */
  z.strictObject({ type: z.literal('silent'), atMs: z.number(), endpoints: z.int() }),
  /** All endpoints of a data centre stop in the middle of what they do. */
  z.strictObject({ type: z.literal('freeze'), atMs: z.number(), dataCentre: z.string() }),
  /** Entry hosts are stopped gracefully and started again, one after another. */
  z.strictObject({ type: z.literal('rolling-restart'), atMs: z.number(), pauseMs: z.number() }),
]);

export type ExperimentFault = z.infer<typeof faultSchema>;

/** One scenario of the request path: topology, open-loop load, failures over time, variants. */
export const experimentSchema = z.strictObject({
  name: z.string(),
  dataCentres: z.record(z.string(), z.int().min(1)).describe('endpoints per data centre'),
  entryHostsPerDataCentre: z.int().min(1),
  slots: z.int().default(8),
  connections: z.int().default(64),
  /** The mean service time of an endpoint. */
  serviceMs: z.number(),
  /** The load as a part of what all slots can serve. */
  load: z.number().positive(),
  durationMs: z.int(),
  /** The part of the requests that are holds, which must not be sent twice. */
  holds: z.number().min(0).max(1).default(0.3),
  /** The deadline that callers give each request. */
  deadlineMs: z.int().default(2000),
  faults: z.array(faultSchema).default([]),
  repeats: z.int().min(1).default(3),
  variants: z.array(z.strictObject({ name: z.string(), nodeFlags: z.array(z.string()) })).min(1),
});

export type Experiment = z.infer<typeof experimentSchema>;
export type Variant = Experiment['variants'][number];

const SECOND_MS = 1000;

/** Requests a second that all slots together can serve. */
export function capacityOf(experiment: Experiment): number {
  const endpoints = Object.values(experiment.dataCentres).reduce((a, b) => a + b, 0);
  return (endpoints * experiment.slots * SECOND_MS) / experiment.serviceMs;
}
