/**
 * Returns the id of a task. It contains the data centre, so that no two data centres ever decide on
 * the same task, and an index. The index of a replica of a service is never reused: a lost replica
 * is replaced by a new one with its own id.
 */
export function taskIdOf(dataCentre: string, owner: string, index: number): string {
  return `${dataCentre}/${owner}/${index}`;
}

/** Returns the index at the end of a task id. */
export function taskIndexOf(taskId: string): number {
  return Number(taskId.slice(taskId.lastIndexOf('/') + 1));
}
