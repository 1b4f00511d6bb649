import type { AppendResult, KeyedLog, KeyedWrite, WriterStamp } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import { delay, steadyMs } from './delay.js';
import { leaderKey, parseKey } from './work-records.js';

/** The writer name under which the store keeps the epoch of the leader. */
export const LEADER_WRITER = 'scheduler';

/** The pause before an unanswered or refused append is repeated, in milliseconds. */
const REPEAT_MS = 100;

/** How often a single record must be rejected until it is given up: its job fails then. */
const MAX_REJECTIONS = 3;

/** Maximum size of one append in bytes, well below the limit of the store. */
const MAX_BYTES = 512 * 1024;

/**
 * Called with a record that the store rejects. Returns the record to store in its place; undefined if
 * there is none.
 */
export type ReplacementFinder = (rec: KeyedWrite) => KeyedWrite | undefined;

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
 *
 * One append carries the records of many jobs. If the store rejects it, its records are appended in
 * smaller parts, so that a record that can never be stored delays the others only once.
 */
export class LeaderWriter {
  readonly #target: KeyedLog;

  readonly #log: NodeLog;

  readonly #epoch: number;

  readonly #replacementFor: ReplacementFinder;

  #sequence: number;

  #confirmedMs: number;

  /** Confirms the append in flight and ends the wait for its answer. */
  #confirmInFlight: (() => void) | undefined;

  readonly #stopping = new AbortController();

  constructor(
    target: KeyedLog,
    log: NodeLog,
    { epoch, sequence, sentMs }: StoredClaim,
    replacementFor: ReplacementFinder = () => undefined,
  ) {
    this.#replacementFor = replacementFor;
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

  /** Stores the records, except those that the store rejects; returns false once replaced. */
  async #writePart(records: readonly KeyedWrite[]): Promise<boolean> {
    const end = await this.#append(records);
    if (end !== 'rejected') return end === 'stored';
    if (records.length === 1) return this.#replace(records[0]!);
    const middle = Math.ceil(records.length / 2);
    if (!(await this.#writePart(records.slice(0, middle)))) return false;
    return this.#writePart(records.slice(middle));
  }

  /** Stores the replacement of a rejected record; returns false once replaced as leader. */
  async #replace(rec: KeyedWrite): Promise<boolean> {
    const replacement = this.#replacementFor(rec);
    if (!replacement) return true;
    const end = await this.#append([replacement]);
    return end !== 'replaced';
  }

  async #append(records: readonly KeyedWrite[]): Promise<AppendEnd> {
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
    const end = await this.#repeat(records, stamp, readBack);
    this.#confirmInFlight = undefined;
    if (end === 'stored') this.#confirmedMs = Math.max(this.#confirmedMs, sentMs);
    // The store has not counted an append that it has rejected.
    if (end === 'rejected') this.#sequence -= 1;
    return end;
  }

  /** Repeats an append until the store reports its outcome or the log shows it. */
  async #repeat(
    records: readonly KeyedWrite[],
    stamp: WriterStamp,
    readBack: Promise<AppendResult>,
  ): Promise<AppendEnd> {
    let failures = 0;
    let rejections = 0;
    while (!this.#stopping.signal.aborted) {
      const result = await Promise.race([readBack, this.#target.append(records, { stamp })]);
      if (result.outcome === 'appended') {
        if (failures > 0) this.#log.emit('info', 'store-regained', { failures });
        return 'stored';
      }
      if (isReplaced(result)) {
        this.#log.emit('warn', 'leader-replaced', { epoch: this.#epoch, reason: result.reason });
        return 'replaced';
      }
      if (result.outcome === 'rejected') rejections += 1;
      if (rejections >= maxRejectionsOf(records)) {
        this.#logRejected(records, result.reason);
        return 'rejected';
      }
      failures += 1;
      if (failures === 1) this.#log.emit('warn', 'store-lost', { reason: result.reason });
      await Promise.race([readBack, delay(REPEAT_MS, this.#stopping.signal)]);
    }
    return 'replaced';
  }

  #logRejected(records: readonly KeyedWrite[], reason: string): void {
    const bytes = records.reduce((sum, rec) => sum + sizeOf(rec), 0);
    const [rec] = records;
    if (records.length > 1 || !rec) {
      this.#log.emit('warn', 'append-rejected', { records: records.length, bytes, reason });
      return;
    }
    const { key } = rec;
    const outcome = parseKey(key)?.kind ?? 'other';
    this.#log.emit('error', 'record-rejected', { key, bytes, outcome, reason });
  }
}

/**
 * How an append has ended.
 *
 * - `stored`: its records are stored.
 * - `rejected`: none is, and the store will never accept them together.
 * - `replaced`: another node has taken over, or this one is stopping.
 */
type AppendEnd = 'stored' | 'rejected' | 'replaced';

/**
 * Returns after how many rejections records are given up: several at once are tried in parts, and no
 * leader can go on without its own record.
 */
function maxRejectionsOf(records: readonly KeyedWrite[]): number {
  if (records.length > 1) return 1;
  return records[0]?.key === leaderKey() ? Infinity : MAX_REJECTIONS;
}

/** Returns the size of a record in bytes, without its length. */
function sizeOf({ key, value = '' }: KeyedWrite): number {
  return Buffer.byteLength(key) + Buffer.byteLength(value);
}

function isReplaced({ outcome }: AppendResult): boolean {
  return outcome === 'fenced' || outcome === 'out-of-sequence' || outcome === 'moved';
}

function* split(records: readonly KeyedWrite[]): Generator<KeyedWrite[]> {
  let part: KeyedWrite[] = [];
  let bytes = 0;
  for (const rec of records) {
    const size = sizeOf(rec);
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
