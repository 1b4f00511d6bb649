import type { RandomSource } from '@redwingcrank/decisions';
import { seededRandom } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';
import type { VirtualTime } from './virtual-time.js';

const NORMAL_DELAY_MS = 20;

const LATE_DELAY_MS = 4000;

/** While a fault lasts, one of this many messages is late or delivered twice. */
const FAULT_INTERVAL = 4;

/** Models a network that delivers messages late, twice, out of order or not at all. */
export class Network {
  readonly random: RandomSource;

  readonly #time: VirtualTime;

  readonly #coverage: Coverage;

  readonly #cuts = new Map<string, number>();

  #delayUntil = 0;

  #duplicateUntil = 0;

  constructor(time: VirtualTime, coverage: Coverage, seed: number) {
    this.#time = time;
    this.#coverage = coverage;
    this.random = seededRandom(seed);
  }

  /** Cuts the connection between two parties for `ms`. */
  cut(a: string, b: string, ms: number): void {
    this.#cuts.set([a, b].sort().join(' '), this.#time.now + ms);
  }

  delayMessages(ms: number): void {
    this.#delayUntil = this.#time.now + ms;
  }

  duplicateMessages(ms: number): void {
    this.#duplicateUntil = this.#time.now + ms;
  }

  heal(): void {
    this.#cuts.clear();
    this.#delayUntil = 0;
    this.#duplicateUntil = 0;
  }

  send(from: string, to: string, deliver: () => void): void {
    const { now } = this.#time;
    if ((this.#cuts.get([from, to].sort().join(' ')) ?? 0) > now) {
      this.#coverage.hit('message-lost');
      return;
    }
    this.#time.after(this.#delay(now), deliver);
    if (now < this.#duplicateUntil && this.random.int(1, FAULT_INTERVAL) === 1) {
      this.#coverage.hit('message-twice');
      this.#time.after(this.#delay(now), deliver);
    }
  }

  #delay(now: number): number {
    if (now < this.#delayUntil && this.random.int(1, FAULT_INTERVAL) === 1) {
      this.#coverage.hit('message-late');
      return this.random.int(1, LATE_DELAY_MS);
    }
    return this.random.int(1, NORMAL_DELAY_MS);
  }
}
