import type { WavePort, WaveState } from '../machine-port.js';
import type { NodeLog } from '../node-log.js';
import { delay } from './delay.js';
import { LEADER_WRITER } from './leader-writer.js';

/** The pause before an unanswered or refused append is repeated, in milliseconds. */
const REPEAT_MS = 200;

/**
 * Stores the state of each wave for operators, under the epoch of the leader: a former leader cannot
 * replace the state that a later one has written. Appends are repeated until the store answers.
 */
export class WaveStates {
  readonly #port: WavePort;

  readonly #log: NodeLog;

  readonly #epoch: number;

  readonly #signal: AbortSignal;

  /** The newest state of each wave that is stored or about to be. */
  readonly #states = new Map<number, WaveState>();

  #sequence = 0;

  #writing: Promise<void> = Promise.resolve();

  constructor(port: WavePort, log: NodeLog, epoch: number, signal: AbortSignal) {
    this.#port = port;
    this.#log = log;
    this.#epoch = epoch;
    this.#signal = signal;
  }

  stateOf(wave: number): WaveState | undefined {
    return this.#states.get(wave);
  }

  /** Has the state stored, after those that were set before. */
  set(wave: number, state: WaveState): void {
    this.#states.set(wave, state);
    this.#writing = this.#writing.then(() => this.#write(wave, state));
  }

  /** Forgets a wave that was deleted: a later wave of this number begins anew. */
  forget(wave: number): void {
    this.#states.delete(wave);
  }

  async #write(wave: number, state: WaveState): Promise<void> {
    this.#sequence += 1;
    const stamp = { writer: LEADER_WRITER, epoch: this.#epoch, sequence: this.#sequence };
    const write = this.#port.encodeState(wave, state);
    while (!this.#signal.aborted) {
      const { outcome, reason } = await this.#port.stateLog.append([write], { stamp });
      if (outcome === 'appended') return;
      if (outcome !== 'refused' && outcome !== 'unknown') {
        // A later leader writes the state again.
        this.#log.emit('warn', 'wave-state-refused', { wave, state, outcome, reason });
        return;
      }
      await delay(REPEAT_MS, this.#signal);
    }
  }
}
