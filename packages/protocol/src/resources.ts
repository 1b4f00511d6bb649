import { z } from 'zod';

/** Processors (cores), memory (MiB) and accelerators (whole devices) of a host or a task. */
export const resourcesSchema = z.strictObject({
  cpu: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.int().min(0).default(0),
});

export type Resources = z.infer<typeof resourcesSchema>;

/** The names of the resources, for code that treats all resources alike. */
export const RESOURCE_KINDS = ['cpu', 'memoryMb', 'accelerators'] as const;

export const NO_RESOURCES: Resources = { cpu: 0, memoryMb: 0, accelerators: 0 };

export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpu: a.cpu + b.cpu,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpu: a.cpu - b.cpu,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/**
 * The tolerance of comparisons. Sums of fractional cores accumulate rounding errors, so an excess of
 * this size is not an over-commitment. Without the margin a host that is filled exactly would reject
 * its last task.
 */
const ROUNDING_MARGIN = 1e-6;

/** Returns whether `need` does not exceed `available` in any resource. */
export function fits(need: Resources, available: Resources): boolean {
  return RESOURCE_KINDS.every((kind) => need[kind] <= available[kind] + ROUNDING_MARGIN);
}
