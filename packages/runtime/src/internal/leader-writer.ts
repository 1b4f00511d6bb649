import type { AppendResult, KeyedLog, KeyedWrite, WriterStamp } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import { delay, steadyMs } from './delay.js';

/** The writer's name under which the store keeps the epoch of the scheduling node. */
export const LEADER_WRITER = 'scheduler';

/** The pause before an append that was not answered or was refused is repeated, in ms. */
const REPEAT_MS = 100;

/** Bytes in one append at most, well under what the store takes in one call. */
const MAX_BYTES = 512 * 1024;

/** The append with which the scheduling node has taken its role. */
export interface StoredClaim {
  readonly epoch: number;
  readonly sequence: number;
  /** When it was sent, on the steady clock: it may have been stored, and read, much later. */
  readonly sentMs: number;
}

/**
 * Appends as the scheduling node of one epoch. An append without an answer is repeated with its
 * own sequence number until the store says what became of it, so none is stored twice and none is
 * overtaken; a node that was replaced learns it from its next append.
 */
export class LeaderWriter {
  readonly #target: KeyedLog;

  readonly #log: NodeLog;

  readonly #epoch: number;

  #sequence: number;

  #confirmedMs: number;

  /** Ends the wait for the answer to the append that is under way. */
  #goOn: (() => void) | undefined;

  readonly #stopping = new AbortController();

  constructor(target: KeyedLog, log: NodeLog, { epoch, sequence, sentMs }: StoredClaim) {
    this.#target = target;
    this.#log = log;
    this.#epoch = epoch;
    this.#sequence = sequence;
    this.#confirmedMs = sentMs;
  }

  /** When the newest append that the store has confirmed was first sent, on the steady clock. */
  get confirmedMs(): number {
    return this.#confirmedMs;
  }

  /**
   * The last record of the newest append, which was sent then, was read back: all of it is stored,
   * whatever became of the answer. The next append need not wait for that: what may still come of
   * this one is a repeat, which the store does not take after its successor.
   */
  readBack(sentMs: number): void {
    this.#confirmedMs = Math.max(this.#confirmedMs, sentMs);
    this.#goOn?.();
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Stores the records in order; false once another node has taken over. */
  async write(records: readonly KeyedWrite[]): Promise<boolean> {
    for (const part of split(records)) {
      if (!(await this.#writePart(part))) return false;
    }
    return true;
  }

  async #writePart(records: readonly KeyedWrite[]): Promise<boolean> {
    this.#sequence += 1;
    const stamp = { writer: LEADER_WRITER, epoch: this.#epoch, sequence: this.#sequence };
    const readBack = new Promise<AppendResult>((resolve) => {
      this.#goOn = () => resolve({ outcome: 'appended', reason: 'read-back' });
    });
    // Others may have read the first attempt, although its answer was lost.
    const sentMs = steadyMs();
    const isStored = await this.#repeat(records, stamp, readBack);
    this.#goOn = undefined;
    if (isStored) this.#confirmedMs = Math.max(this.#confirmedMs, sentMs);
    return isStored;
  }

  /** Appends until the store says what became of it, or the log shows it. */
  async #repeat(
    records: readonly KeyedWrite[],
    stamp: WriterStamp,
    readBack: Promise<AppendResult>,
  ): Promise<boolean> {
    let failures = 0;
    while (!this.#stopping.signal.aborted) {
      const result = await Promise.race([readBack, this.#target.append(records, { stamp })]);
      if (result.outcome === 'appended') {
        if (failures > 0) this.#log.emit('info', 'store-regained', { failures });
        return true;
      }
      if (isReplaced(result)) {
        this.#log.emit('warn', 'leader-replaced', { epoch: this.#epoch, reason: result.reason });
        return false;
      }
      failures += 1;
      if (failures === 1) this.#log.emit('warn', 'store-lost', { reason: result.reason });
      await Promise.race([readBack, delay(REPEAT_MS, this.#stopping.signal)]);
    }
    return false;
  }
}

function isReplaced({ outcome }: AppendResult): boolean {
  return outcome === 'fenced' || outcome === 'out-of-sequence' || outcome === 'moved';
}

function* split(records: readonly KeyedWrite[]): Generator<KeyedWrite[]> {
  let part: KeyedWrite[] = [];
  let bytes = 0;
  for (const rec of records) {
    const size = rec.key.length + (rec.value?.length ?? 0);
    if (part.length > 0 && bytes + size > MAX_BYTES) {
      yield part;
      part = [];
      bytes = 0;
    }
    part.push(rec);
    bytes += size;
  }
  if (part.length > 0) yield part;
}
