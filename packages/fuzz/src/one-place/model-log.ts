import type { LogEntry } from '@redwingcrank/protocol';
import type { Coverage } from '../coverage.js';
import type { Network } from './network.js';
import type { VirtualTime } from './virtual-time.js';

const PAGE_LIMIT = 20;

const LATE_APPEND_MS = 3000;

/** Models the platform's log, which may be down, lose answers to appends, and apply appends late. */
export class ModelLog {
  readonly #time: VirtualTime;

  readonly #network: Network;

  readonly #coverage: Coverage;

  readonly #records: unknown[] = [];

  readonly #appended: (offset: number, value: unknown) => void;

  #downUntil = 0;

  #answersToLose = 0;

  #appendsToDelay = 0;

  constructor(
    world: { time: VirtualTime; network: Network; coverage: Coverage },
    appended: (offset: number, value: unknown) => void,
  ) {
    this.#time = world.time;
    this.#network = world.network;
    this.#coverage = world.coverage;
    this.#appended = appended;
  }

  goDown(ms: number): void {
    this.#downUntil = this.#time.now + ms;
  }

  loseAnswer(): void {
    this.#answersToLose += 1;
  }

  delayAppend(): void {
    this.#appendsToDelay += 1;
  }

  heal(): void {
    this.#downUntil = 0;
    this.#answersToLose = 0;
    this.#appendsToDelay = 0;
  }

  /** Reads from an offset; `atEnd` tells `deliver` that there are no more records. */
  read(reader: string, from: number, deliver: (entries: LogEntry[], atEnd: boolean) => void): void {
    this.#network.send(reader, 'log', () => {
      if (this.#isDown()) return;
      const page = this.#records.slice(from, from + PAGE_LIMIT);
      const entries = page.map((value, i) => ({ offset: from + i, value }));
      this.#network.send('log', reader, () => deliver(entries, entries.length === 0));
    });
  }

  append(writer: string, record: unknown, answered: (offset: number) => void): void {
    const delayed = this.#appendsToDelay > 0;
    if (delayed) {
      this.#appendsToDelay -= 1;
      this.#coverage.hit('append-late');
      this.#time.after(LATE_APPEND_MS, () => this.#store(writer, record, answered));
    } else {
      this.#network.send(writer, 'log', () => this.#store(writer, record, answered));
    }
  }

  #store(writer: string, record: unknown, answered: (offset: number) => void): void {
    if (this.#isDown()) return;
    const offset = this.#records.push(record) - 1;
    this.#appended(offset, record);
    if (this.#answersToLose > 0) {
      this.#answersToLose -= 1;
      this.#coverage.hit('append-answer-lost');
      return;
    }
    this.#network.send('log', writer, () => answered(offset));
  }

  #isDown(): boolean {
    const down = this.#time.now < this.#downUntil;
    if (down) this.#coverage.hit('log-down');
    return down;
  }
}
