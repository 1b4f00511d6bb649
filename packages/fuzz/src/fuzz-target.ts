import type { IRawProperty } from 'fast-check';
import type { Coverage } from './coverage.js';

/** A property to check, with the generator of its random commands. */
export abstract class FuzzTarget {
  abstract readonly name: string;

  /** Failures and cases that a run must hit; a case that never occurred was not tested. */
  abstract readonly coveragePoints: readonly string[];

  /** The number of runs in the tests: enough to hit every coverage point, and still quick. */
  readonly checkRuns: number = 200;

  /** Returns the property that must hold for all drawn commands. */
  abstract property(coverage: Coverage): IRawProperty<unknown>;
}
