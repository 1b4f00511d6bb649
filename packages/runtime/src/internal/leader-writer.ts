import type { AppendResult, KeyedLog, KeyedWrite, WriterStamp } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import { delay, steadyMs } from './delay.js';
import { leaderKey } from './work-records.js';

/** The writer name under which the store keeps the epoch of the leader. */
export const LEADER_WRITER = 'scheduler';

/** The pause before an unanswered or refused append is repeated, in milliseconds. */
const REPEAT_MS = 100;

/** Maximum size of one append in bytes, well below the limit of the store. */
const MAX_BYTES = 512 * 1024;

/** The append with which the leader has claimed leadership. */
export interface StoredClaim {
  readonly epoch: number;
  readonly sequence: number;
  /** When it was sent, on the steady clock; it may have been stored and read much later. */
  readonly sentMs: number;
}

/**
 * Appends records as the leader of one epoch. An append without an answer is repeated with the same
 * sequence number until the store reports its outcome, so no append is stored twice or out of
 * order. A leader that was replaced finds out with its next append.
 */
export class LeaderWriter {
  readonly #target: KeyedLog;

  readonly #log: NodeLog;

  readonly #epoch: number;

  #sequence: number;

  #confirmedMs: number;

  /** Confirms the append in flight and ends the wait for its answer. */
  #confirmInFlight: (() => void) | undefined;

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
   * Called when the leader's own record, the last of an append that was sent at `sentMs`, was read
   * back: all of it is stored, even if its answer is lost. The next append need not wait for that
   * answer: all that may still arrive at the store is a repeat, which the store rejects after a later
   * append.
   */
  readBack(sentMs: number): void {
    this.#confirmedMs = Math.max(this.#confirmedMs, sentMs);
    this.#confirmInFlight?.();
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Stores the records in order; returns false once another node has taken over. */
  async write(records: readonly KeyedWrite[]): Promise<boolean> {
    for (const part of split(records)) {
      if (!(await this.#writePart(part))) return false;
    }
    return true;
  }

  async #writePart(records: readonly KeyedWrite[]): Promise<boolean> {
    this.#sequence += 1;
    const stamp = { writer: LEADER_WRITER, epoch: this.#epoch, sequence: this.#sequence };
    // With many silent workers, an append may come without the leader's own record. Reading back the
    // record of the append before it does not show that it is stored.
    const hasOwnRecord = records.some(({ key }) => key === leaderKey());
    const readBack = new Promise<AppendResult>((resolve) => {
      this.#confirmInFlight = hasOwnRecord
        ? () => resolve({ outcome: 'appended', reason: 'read-back' })
        : undefined;
    });
    // Others may have read the first attempt although its answer was lost.
    const sentMs = steadyMs();
    const isStored = await this.#repeat(records, stamp, readBack);
    this.#confirmInFlight = undefined;
    if (isStored) this.#confirmedMs = Math.max(this.#confirmedMs, sentMs);
    return isStored;
  }

  /** Repeats an append until the store reports its outcome or the log shows it. */
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
