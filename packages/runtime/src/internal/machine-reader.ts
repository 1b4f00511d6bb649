import type { MachineList } from '@redwingcrank/jobs';
import type { MachinePort } from '../machine-port.js';
import type { NodeLog } from '../node-log.js';
import { steadyMs } from './delay.js';

/** The least time between two reads, in milliseconds. */
const READ_INTERVAL_MS = 500;

/** The longest time between two reads that fail, in milliseconds. */
const MAX_FAILED_INTERVAL_MS = 2_000;

const MS_PER_S = 1_000;

/** The share of the allowed rate that this node uses: a former leader may still read. */
const RATE_SHARE = 0.5;

/** Reads the list of machines while it is needed. */
export class MachineReader {
  readonly #port: MachinePort;

  readonly #log: NodeLog;

  readonly #readsPerS: number;

  /** Called after each read that succeeds. */
  readonly #onList: () => void;

  #list: MachineList | undefined;

  #isReading = false;

  #nextMs = -Infinity;

  /** The number of reads that have failed in a row. */
  #failures = 0;

  constructor(port: MachinePort, log: NodeLog, readsPerS: number, onList: () => void) {
    this.#port = port;
    this.#log = log;
    this.#readsPerS = readsPerS;
    this.#onList = onList;
  }

  get list(): MachineList | undefined {
    return this.#list;
  }

  /** Starts a read if one is due. */
  async readIfDue(): Promise<void> {
    const askedMs = steadyMs();
    if (this.#isReading || askedMs < this.#nextMs) return;
    this.#isReading = true;
    try {
      const { machines, calls } = await this.#port.list();
      this.#list = { machines: new Map(machines.map((row) => [row.name, row])), askedMs };
      const pacedMs = (calls * MS_PER_S) / (this.#readsPerS * RATE_SHARE);
      this.#nextMs = askedMs + Math.max(READ_INTERVAL_MS, pacedMs);
      if (this.#failures > 0)
        this.#log.emit('info', 'machine-list-regained', { failures: this.#failures });
      this.#failures = 0;
      this.#onList();
    } catch (err) {
      this.#failures += 1;
      const pauseMs = READ_INTERVAL_MS * 2 ** (this.#failures - 1);
      this.#nextMs = askedMs + Math.min(MAX_FAILED_INTERVAL_MS, pauseMs);
      const reason = err instanceof Error ? err.message : String(err);
      if (this.#failures === 1) this.#log.emit('warn', 'machine-list-lost', { reason });
    } finally {
      this.#isReading = false;
    }
  }
}
