/** Identifies one task of one occurrence of a job. */
export interface TaskRef {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Returns the task's name in logs and in orders to workers. */
export function taskName({ jobId, occurrence, step, index }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}

/** Returns the name of the task's step, which begins the names of all of its tasks. */
export function stepName({ jobId, occurrence, step }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}`;
}

/** Parses a task's name; returns undefined if the text is not one. */
export function parseTaskName(name: string): TaskRef | undefined {
  const [jobId, ...rest] = name.split('.');
  const [occurrence, step, index] = rest.map(Number);
  if (!jobId || rest.length !== 3) return undefined;
  if (occurrence === undefined || step === undefined || index === undefined) return undefined;
  if (![occurrence, step, index].every(Number.isInteger)) return undefined;
  return { jobId, occurrence, step, index };
}
