import type { Outcome, ResultCode, ResultCodeKey } from './result-codes.js';
import { RESULT_CODES } from './result-codes.js';

/** One fault in input written by a person: its path, the expected value and the value found. */
export interface Fault {
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/**
 * The base class of all errors that carry a numbered result code.
 *
 * @example
 * throw new CodedError('overloaded', 'service booking: 40 requests wait');
 */
export class CodedError extends Error {
  readonly result: ResultCode;

  readonly outcome: Outcome | undefined;

  /**
   * @param key - The key of the result code.
   * @param detail - A description of the failure that names the object concerned.
   * @param outcome - Whether the requested work has run, as far as is known.
   */
  constructor(key: ResultCodeKey, detail: string, outcome?: Outcome) {
    super(detail);
    this.name = new.target.name;
    this.result = RESULT_CODES[key];
    this.outcome = outcome;
  }
}

/** Thrown for invalid input written by a person. Lists all faults at once. */
export class InvalidInputError extends CodedError {
  readonly faults: readonly Fault[];

  constructor(key: ResultCodeKey, faults: readonly Fault[]) {
    super(key, faults.map((f) => `${f.path}: expected ${f.expected}, found ${f.found}`).join('\n'));
    this.faults = faults;
  }
}

/** Thrown if the platform did not answer or its answer was lost. The action may have taken effect. */
export class PlatformError extends CodedError {}
