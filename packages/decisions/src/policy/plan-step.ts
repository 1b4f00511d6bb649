import type { ControlAction } from '@redwingcrank/protocol';

/** The reasons why tasks wait. */
export const WAIT_REASONS = [
  /** No host of the data centre is known. */
  'no-hosts',
  /** None of the racks on which the task may run exists. */
  'no-such-rack',
  /** No host on which the task may run is large enough, even when empty. */
  'never-fits',
  /** The team's quota is smaller than the task. */
  'exceeds-quota',
  /** The task id was used by a replica of a service that had this name. */
  'name-reused',
  /** Too many attempts of the task failed. */
  'attempts-exhausted',
  /** The team's tasks have used up its quota. */
  'quota',
  /** Every host that is large enough lacks free capacity. */
  'no-room',
  /** Hosts have free capacity, but the task would interfere with a service there. */
  'kept-apart',
  /** Evictions are freeing capacity for the task. */
  'eviction-pending',
] as const;

export type WaitReason = (typeof WAIT_REASONS)[number];

/** Tasks of one owner that wait for the same reason. */
export interface Unplaced {
  /** The id of the first waiting task. */
  readonly taskId: string;
  readonly owner: string;
  readonly count: number;
  readonly reason: WaitReason;
}

/** A step of a pass. At a `pause`, the driver may run other work. */
export type PlanStep =
  | { readonly type: 'action'; readonly action: ControlAction }
  | { readonly type: 'unplaced'; readonly unplaced: Unplaced }
  | { readonly type: 'pause' };

export const PAUSE: PlanStep = { type: 'pause' };

export const actionStep = (action: ControlAction): PlanStep => ({ type: 'action', action });

/** Number of lookups between two pauses; together they take about a millisecond. */
const LOOKUPS_PER_PAUSE = 500;

/** Counts the lookups of a pass to determine when a pause is due. */
export class Pacer {
  #lookups = 0;

  /** Adds the given number of lookups and returns whether a pause is due. */
  due(lookups = 1): boolean {
    this.#lookups += lookups;
    if (this.#lookups < LOOKUPS_PER_PAUSE) return false;
    this.#lookups = 0;
    return true;
  }
}
