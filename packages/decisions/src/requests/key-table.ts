/** How a key's only run ended. */
export type RunOutcome<A> =
  | { readonly type: 'answer'; readonly answer: A; readonly bytes: number }
  | { readonly type: 'ran' | 'unknown' | 'not-run' };

/**
 * What to do with a keyed request at its home.
 * - `run`: this is the first; run it and report the end.
 * - `join`: it runs now; wait for the same end.
 * - `answer`: it ran; this was the answer.
 * - `ran`: it ran, but its answer is no longer kept.
 * - `unknown`: it was sent once, and nobody knows whether it ran.
 * - `beyond-memory`: an earlier send may be older than what this home remembers.
 * - `other-request`: the key belongs to a request with other content.
 */
export type KeyVerdict<A> =
  | { readonly type: 'run' | 'join' | 'ran' | 'unknown' | 'beyond-memory' | 'other-request' }
  | { readonly type: 'answer'; readonly answer: A };

interface KeyEntry<A> {
  readonly fingerprint: string;
  readonly firstAt: number;
  state: 'running' | 'answered' | 'ran' | 'unknown';
  answer?: A;
  bytes: number;
}

/** What a home hands on when it ends: its keys without their answers. Times in milliseconds. */
export interface KeyMemory {
  /** How far back the table is complete; null where it has no beginning. */
  readonly completeForMs: number | null;
  readonly keys: readonly {
    readonly key: string;
    readonly fingerprint: string;
    readonly ageMs: number;
    readonly state: 'ran' | 'unknown';
  }[];
}

export interface KeyTableLimits {
  /** The greatest age of a key that is sent again; an unstated age is taken to be this. */
  readonly windowMs: number;
  /** The longest that a request may be held up between its caller and this table. */
  readonly maxDelayMs: number;
  readonly maxKeys: number;
  /** All kept answers together. */
  readonly maxAnswerBytes: number;
}

/** A caller's clock may run slower than ours by this share: its ages are stretched by it. */
const CLOCK_RATE_MARGIN = 0.01;

/**
 * The keys whose home this entry host is.
 *
 * Invariant: a key runs only if it is not in the table and the table has held every key that
 * began since the key's first use. The second half is what a restart breaks: the memory of the
 * earlier incarnation is gone, and a repeat would look like a first send and run again. So the
 * table knows since when it is complete (`#completeSince`), and says `beyond-memory` to every key
 * that may be older. Dropping an entry moves that time forward; the two always move together.
 */
export class KeyTable<A> {
  readonly #limits: KeyTableLimits;

  /** In the order of their first use, because a Map keeps the order of insertion. */
  readonly #entries = new Map<string, KeyEntry<A>>();

  #completeSince: number;

  #answerBytes = 0;

  /**
   * @param completeSince - No key of this home began before, except in what the table will hold.
   *   The start of the process, or -Infinity where no earlier process had this node's name.
   */
  constructor(limits: KeyTableLimits, completeSince: number) {
    this.#limits = limits;
    this.#completeSince = completeSince;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Says that no earlier incarnation of this home ever ran a key. Only before the first `begin`. */
  assumeNoEarlierHome(): void {
    this.#completeSince = -Infinity;
  }

  /** Everything a successor must know. A key that still runs may run to its end: `unknown`. */
  export(now: number): KeyMemory {
    const keys = [...this.#entries].map(([key, { fingerprint, firstAt, state }]) => {
      const ended = state === 'answered' || state === 'ran';
      return { key, fingerprint, ageMs: now - firstAt, state: ended ? 'ran' : 'unknown' } as const;
    });
    const reach = now - this.#completeSince;
    return { completeForMs: Number.isFinite(reach) ? reach : null, keys };
  }

  /**
   * Takes over the memory of the direct predecessor, which ended after it was exported. Only
   * before the first `begin`.
   *
   * @param heldMs - The time since the export; too small a value only shortens the memory.
   */
  import({ completeForMs, keys }: KeyMemory, heldMs: number, now: number): void {
    this.#completeSince = completeForMs === null ? -Infinity : now - heldMs - completeForMs;
    const oldestFirst = [...keys].sort((a, b) => b.ageMs - a.ageMs);
    for (const { key, fingerprint, ageMs, state } of oldestFirst) {
      this.#entries.set(key, { fingerprint, firstAt: now - heldMs - ageMs, state, bytes: 0 });
    }
  }

  /**
   * @param ageMs - The time since the caller first sent the key, by the caller's word; undefined
   *   where it does not say: then the key may be as old as the window.
   */
  start(key: string, fingerprint: string, ageMs: number | undefined, now: number): KeyVerdict<A> {
    const known = this.#entries.get(key);
    if (known) return verdictOf(known, fingerprint);
    this.#dropOld(now);
    const { windowMs, maxDelayMs } = this.#limits;
    const age = ageMs === undefined ? windowMs : ageMs * (1 + CLOCK_RATE_MARGIN);
    // A send that was held up states an age from before: a later send of the key may have run
    // at the earlier incarnation meanwhile. So even an age of 0 counts from before the delay.
    const firstUse = now - age - maxDelayMs;
    if (firstUse < this.#completeSince) return { type: 'beyond-memory' };
    this.#entries.set(key, { fingerprint, firstAt: now, state: 'running', bytes: 0 });
    return { type: 'run' };
  }

  /** Takes down how the run ended. A key that did not run is forgotten: it may run later. */
  end(key: string, end: RunOutcome<A>): void {
    const entry = this.#entries.get(key);
    if (!entry) return;
    if (end.type === 'not-run') {
      this.#entries.delete(key);
    } else if (end.type !== 'answer') {
      entry.state = end.type;
    } else {
      Object.assign(entry, { state: 'answered', answer: end.answer, bytes: end.bytes });
      this.#answerBytes += end.bytes;
      this.#dropAnswers();
    }
  }

  /** How long until a key without a stated age is taken again; 0 where it is. */
  memoryGapMs(now: number): number {
    const { windowMs, maxDelayMs } = this.#limits;
    return Math.max(0, this.#completeSince + windowMs + maxDelayMs - now);
  }

  #dropOld(now: number): void {
    const { windowMs, maxDelayMs, maxKeys } = this.#limits;
    // Kept past the oldest first use that `begin` accepts, or a drop would shut out new keys.
    const keepMs = windowMs + 2 * maxDelayMs;
    for (const [key, entry] of this.#entries) {
      const expired = now - entry.firstAt > keepMs;
      if (!expired && this.#entries.size < maxKeys) return;
      // A running key stays: forgetting it would let its repeat run beside it.
      if (entry.state !== 'running') {
        this.#entries.delete(key);
        this.#answerBytes -= entry.bytes;
        this.#completeSince = Math.max(this.#completeSince, entry.firstAt);
      }
    }
  }

  /** Oldest answers go first; that the key ran is still known. */
  #dropAnswers(): void {
    for (const entry of this.#entries.values()) {
      if (this.#answerBytes <= this.#limits.maxAnswerBytes) return;
      if (entry.state === 'answered') {
        this.#answerBytes -= entry.bytes;
        entry.state = 'ran';
        entry.bytes = 0;
        delete entry.answer;
      }
    }
  }
}

function verdictOf<A>(entry: KeyEntry<A>, fingerprint: string): KeyVerdict<A> {
  if (entry.fingerprint !== fingerprint) return { type: 'other-request' };
  if (entry.state === 'running') return { type: 'join' };
  if (entry.state === 'answered') return { type: 'answer', answer: entry.answer as A };
  return { type: entry.state };
}
