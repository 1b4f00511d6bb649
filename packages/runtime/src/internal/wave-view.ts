import type { HeldMachine } from '@redwingcrank/jobs';
import type { WaveState } from '../machine-port.js';
import { steadyMs } from './delay.js';
import type { WaveWatch } from './wave-watch.js';
import type { WorkTable } from './work-table.js';

/** A wave as operators see it. */
export interface WaveView {
  readonly wave: number;
  readonly state: WaveState;
  readonly machines: number;
  readonly done: number;
  /** Machines that may be down for the wave; undefined unless the node schedules. */
  readonly down?: number;
  /** Machines that take no new tasks before their maintenance; undefined unless the node schedules. */
  readonly draining?: number;
  /** Time until the wave should be completed, in milliseconds; negative if it is late. */
  readonly leftMs: number;
  /** What blocks machines; undefined unless the node schedules. */
  readonly held?: readonly Pick<HeldMachine, 'machine' | 'reason'>[];
}

/** Returns the waves as a node that does not schedule knows them. */
export function followedWaves(
  { current }: Pick<WaveWatch, 'current'>,
  { upkeep }: Pick<WorkTable, 'upkeep'>,
): WaveView[] {
  return [...current].map(([wave, { request, sinceMs }]) => {
    const { done = [], dropped = [] } = upkeep.get(wave) ?? {};
    const settled = new Set([...done, ...dropped]);
    const isCompleted = request.machines.every((machine) => settled.has(machine));
    return {
      wave,
      state: isCompleted ? 'completed' : 'running',
      machines: request.machines.length,
      done: done.length,
      leftMs: Math.round(sinceMs + request.durationMs - steadyMs()),
    };
  });
}
