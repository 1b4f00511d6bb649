import type { Machine, MaintenanceOutcome, WaveRequest } from '@redwingcrank/jobs';
import type { KeyedLog, KeyedRecord, KeyedWrite } from './keyed-log.js';
import type { Decoded } from './record-fault.js';

/** Who makes a call for maintenance, and for which machine and wave. */
export interface MaintenanceRequest {
  readonly machine: string;
  readonly wave: number;
  /** The name of the calling node. */
  readonly holder: string;
  /** The fencing token of its term. */
  readonly token: number;
}

/** Thrown if the machines cannot be listed; the message states the reason. */
export class MachinesUnavailableError extends Error {
  override readonly name = 'MachinesUnavailableError';
}

/** The machines as the platform lists them, and the calls that the list took. */
export interface ListedMachines {
  readonly machines: readonly Machine[];
  readonly calls: number;
}

/** The platform's service that lists machines and carries out their maintenance. */
export abstract class MachinePort {
  /**
   * Returns all machines.
   *
   * @throws MachinesUnavailableError
   */
  abstract list(): Promise<ListedMachines>;

  /** Has the maintenance of a machine begin. Never throws for a fault of the service. */
  abstract upkeep(req: MaintenanceRequest): Promise<MaintenanceOutcome>;
}

/** A record by which operators request a wave of maintenance. */
export interface WaveRecord {
  readonly wave: number;
  /** What is requested, whether the record was deleted, or why it cannot be used. */
  readonly content: Decoded<WaveRequest | 'deleted'>;
}

export type WaveState = 'running' | 'completed';

/** How operators request waves of maintenance, and how these are carried out. */
export interface WavePort {
  /** Decodes the record of a wave; returns undefined for other records. */
  decode(rec: KeyedRecord): WaveRecord | undefined;
  /** The log in which the state of each wave is stored for operators. */
  readonly stateLog: KeyedLog;
  encodeState(wave: number, state: WaveState): KeyedWrite;
  /** Absent if the settings do not state the address of the service. */
  readonly machines?: MachinePort;
}
