/**
 * - `up`: its worker takes tasks.
 * - `moving`: on its way to another pool.
 * - `maintained`: down for maintenance.
 * - `down`: down for any other cause.
 */
export type MachineState = 'up' | 'moving' | 'maintained' | 'down';

/** A machine as the platform lists it. A worker is one life of a machine. */
export interface Machine {
  readonly name: string;
  readonly state: MachineState;
  /** The id of its worker; empty if it has none. */
  readonly worker: string;
}

/** A complete list of the machines. */
export interface MachineList {
  /** By name. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** When it was requested, on the monotonic clock. */
  readonly askedMs: number;
}

/** A request of operators for the maintenance of some machines. */
export interface WaveRequest {
  readonly machines: readonly string[];
  /** Within this time each of the machines is to have its maintenance, in milliseconds. */
  readonly durationMs: number;
  /** How many of the machines may be down for maintenance at once. */
  readonly maxCount: number;
}

/**
 * The outcome of a call for the maintenance of a machine.
 *
 * - `done`: everything on the machine has ended now, or its maintenance for the wave is over.
 * - `fenced`: a later leader has called.
 * - `busy`: the machine is not up, or is leaving.
 * - `other-wave`: the machine does not belong to the wave, as far as the platform knows.
 * - `no-machine`: the platform knows no such machine.
 * - `limited`: too many calls in the last second.
 * - `unknown`: no usable answer; the call may have been carried out, or may yet be.
 */
export type MaintenanceOutcome =
  'done' | 'fenced' | 'busy' | 'other-wave' | 'no-machine' | 'limited' | 'unknown';

/**
 * Why the maintenance of a machine does not begin yet.
 *
 * - `max-unavailable`: it would make too many tasks of a step unavailable.
 * - `max-count`: as many machines of a wave as allowed are down.
 * - `drain`: tasks on the machine are being stopped or left to end.
 * - `busy`: the machine is not up or is leaving, or a call for it was refused.
 */
export type HoldReason = 'max-unavailable' | 'max-count' | 'drain' | 'busy';
