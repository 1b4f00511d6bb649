import type { ControlAction } from '@redwingcrank/protocol';

/** Why tasks wait. */
export const WAIT_REASONS = [
  /** There is no host in the data centre, as far as is known. */
  'no-hosts',
  /** None of the racks that it may run on exists. */
  'no-such-rack',
  /** No host that it may run on is large enough, even when empty. */
  'never-fits',
  /** The team's quota is smaller than the task. */
  'exceeds-quota',
  /** Its identity was a replica's of a service that had this name. */
  'name-reused',
  /** Too many of its attempts failed. */
  'attempts-exhausted',
  /** The team's tasks use the quota up. */
  'quota',
  /** Every host that is large enough is full. */
  'no-room',
  /** Hosts have room, but a service there would suffer from it. */
  'kept-apart',
  /** Room is being freed for it by evictions. */
  'eviction-pending',
] as const;

export type WaitReason = (typeof WAIT_REASONS)[number];

/** Tasks of one owner that wait for one reason. */
export interface Unplaced {
  /** The first of them. */
  readonly taskId: string;
  readonly owner: string;
  readonly count: number;
  readonly reason: WaitReason;
}

/** A `pause` carries nothing: it is a point where the driver may let other work run. */
export type PlanStep =
  | { readonly type: 'action'; readonly action: ControlAction }
  | { readonly type: 'unplaced'; readonly unplaced: Unplaced }
  | { readonly type: 'pause' };

export const PAUSE: PlanStep = { type: 'pause' };

export const actionStep = (action: ControlAction): PlanStep => ({ type: 'action', action });

/** So many look-ups may go by without a pause: together about a millisecond. */
const LOOKUPS_PER_PAUSE = 500;

/** Counts look-ups, so that a loop knows when it owes its driver a pause. */
export class Pacer {
  #lookups = 0;

  /** Whether a pause is due after so many more look-ups. */
  due(lookups = 1): boolean {
    this.#lookups += lookups;
    if (this.#lookups < LOOKUPS_PER_PAUSE) return false;
    this.#lookups = 0;
    return true;
  }
}
