import { z } from 'zod';
import type { JobSpec } from '@redwingcrank/jobs';

/**
 * Maximum number of tasks in one step: the progress of all of them is stored in one record of the
 * job.
 */
const MAX_TASKS = 1_000;

const MAX_STEPS = 64;

const MAX_PAYLOAD_BYTES = 4_000;

const step = z.strictObject({
  taskCount: z.int().min(1).max(MAX_TASKS),
  cpuMilli: z.int().min(0).default(0),
  memMb: z.int().min(0).default(0),
  gpus: z.int().min(0).default(0),
  estimateMs: z.number().min(0).default(0),
  after: z.array(z.int().min(0)).default([]),
  checkpointing: z.boolean().default(false),
  gang: z.boolean().default(false),
  rackLocal: z.boolean().default(false),
  requiredLabel: z.string().default(''),
  dataRack: z.string().default(''),
  maxPerWorker: z.int().min(0).default(0),
  speculative: z.boolean().default(false),
  lasting: z.boolean().default(false),
  image: z.string().default(''),
  targetMs: z.number().min(0).default(0),
  fills: z.boolean().default(false),
  maxUnavailable: z.int().min(0).default(0),
});

const schedule = z.strictObject({
  count: z.int().min(1),
  firstDueMs: z.number(),
  intervalMs: z.number().positive(),
});

/** A job as submitted over the project's own API. */
export const jobSchema = z
  .strictObject({
    payload: z.string().max(MAX_PAYLOAD_BYTES).default(''),
    steps: z.array(step).min(1).max(MAX_STEPS),
    schedule: schedule.optional(),
  })
  .superRefine(({ steps }, ctx) => {
    for (const [index, { after }] of steps.entries()) {
      if (after.some((earlier) => earlier >= index)) {
        ctx.addIssue({
          code: 'custom',
          path: ['steps', index, 'after'],
          message: 'a step can wait for earlier steps only',
        });
      }
    }
  });

/** The faults of a submitted job, one line each. */
export class JobFaultsError extends Error {
  override readonly name = 'JobFaultsError';

  readonly faults: readonly string[];

  constructor(faults: readonly string[]) {
    super(faults.join('; '));
    this.faults = faults;
  }
}

/** Parses a submitted job. @throws JobFaultsError listing all faults */
export function readJob(id: string, queue: string, text: string, acceptedMs: number): JobSpec {
  const reading = jobSchema.safeParse(parseText(text));
  if (!reading.success) {
    throw new JobFaultsError(
      reading.error.issues.map(({ path, message }) => `${path.join('.') || 'job'}: ${message}`),
    );
  }
  const { schedule: times, ...job } = reading.data;
  return { id, queue, acceptedMs, ...job, ...(times && { schedule: times }) };
}

function parseText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    throw new JobFaultsError([`job: ${err instanceof Error ? err.message : 'not JSON'}`]);
  }
}
