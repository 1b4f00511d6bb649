/** The operators' settings of a queue whose steps only some workers may run. */
export interface AdvicePolicy {
  /** How long the advice service takes for an answer, in milliseconds. */
  readonly decisionMs: number;
  /** How much longer it takes for each worker that is named, in milliseconds. */
  readonly periodMs: number;
  /** How long a ticket is valid, in milliseconds. */
  readonly validityMs: number;
}

/** A question to the advice service: which of these workers may run a step. */
export interface AdviceQuery {
  /** The name of the step: job, occurrence and step, separated by dots. */
  readonly step: string;
  /** The ids of the workers. */
  readonly workers: readonly string[];
  /** How long the service is expected to take, in milliseconds. */
  readonly expectedMs: number;
}

/** The answer to an `AdviceQuery`. */
export interface AdviceAnswer {
  /** The tickets of the approved workers, by the worker's id. */
  readonly tickets: ReadonlyMap<string, string>;
  readonly validityMs: number;
}
