/** Names one task of one occurrence of a job. */
export interface TaskRef {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** The task's name in logs and in orders to workers. */
export function taskName({ jobId, occurrence, step, index }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}

/** Reads a task's name back; undefined for a text that is none. */
export function parseTaskName(name: string): TaskRef | undefined {
  const [jobId, ...rest] = name.split('.');
  const [occurrence, step, index] = rest.map(Number);
  if (!jobId || rest.length !== 3) return undefined;
  if (occurrence === undefined || step === undefined || index === undefined) return undefined;
  if (![occurrence, step, index].every(Number.isInteger)) return undefined;
  return { jobId, occurrence, step, index };
}
