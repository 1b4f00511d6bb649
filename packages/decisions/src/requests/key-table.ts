/** How the only run of a key ended. */
export type RunOutcome<A> =
  | { readonly type: 'answer'; readonly answer: A; readonly bytes: number }
  | { readonly type: 'ran' | 'unknown' | 'not-run' };

/**
 * How the home of a key handles a request with this key.
 * - `run`: this is the first request; run it and report the end.
 * - `join`: the request is running; wait for the same end.
 * - `answer`: the request ran, with this answer.
 * - `ran`: the request ran, but its answer is no longer kept.
 * - `unknown`: the request was sent, and it is not known whether it ran.
 * - `beyond-memory`: an earlier send may be older than the memory of this home.
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

/** The keys that a home passes to its successor, without their answers. Times in milliseconds. */
export interface KeyMemory {
  /** How far back the table is complete; null if no earlier key is missing. */
  readonly completeForMs: number | null;
  readonly keys: readonly {
    readonly key: string;
    readonly fingerprint: string;
    readonly ageMs: number;
    readonly state: 'ran' | 'unknown';
  }[];
}

export interface KeyTableLimits {
  /** The maximum age of a key that is sent again; assumed if the age is not given. */
  readonly windowMs: number;
  /** The maximum delay of a request between its caller and this table. */
  readonly maxDelayMs: number;
  readonly maxKeys: number;
  /** The maximum total size of all kept answers. */
  readonly maxAnswerBytes: number;
}

/** A caller's clock may be slower than ours by this share, so stated ages are increased by it. */
const CLOCK_RATE_MARGIN = 0.01;

/**
 * The idempotency keys whose home is this entry host.
 *
 * Invariant: a key runs only if it is not in the table and the table contains every key that was
 * started since the first use of this key. A restart would break the second condition: the memory
 * of the earlier incarnation is lost, and a repeated request would look like a first one and run
 * again. The table therefore records since when it is complete (`#completeSince`), and answers
 * `beyond-memory` for every key that may be older. Dropping an entry always moves this time forward
 * as well.
 */
export class KeyTable<A> {
  readonly #limits: KeyTableLimits;

  /** The entries in order of first use, since a Map keeps the order of insertion. */
  readonly #entries = new Map<string, KeyEntry<A>>();

  #completeSince: number;

  #answerBytes = 0;

  /**
   * @param completeSince - The time before which no key of this home was started, except those that
   *   are imported later. The start of the process, or -Infinity if no earlier process had this
   *   node's name.
   */
  constructor(limits: KeyTableLimits, completeSince: number) {
    this.#limits = limits;
    this.#completeSince = completeSince;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Declares that no earlier incarnation of this home ran a key. Only before the first `start`. */
  assumeNoEarlierHome(): void {
    this.#completeSince = -Infinity;
  }

  /** Returns the memory for a successor. A key that still runs may complete, so it is `unknown`. */
  export(now: number): KeyMemory {
    const keys = [...this.#entries].map(([key, { fingerprint, firstAt, state }]) => {
      const ended = state === 'answered' || state === 'ran';
      return { key, fingerprint, ageMs: now - firstAt, state: ended ? 'ran' : 'unknown' } as const;
    });
    const completeDurationMs = now - this.#completeSince;
    return { completeForMs: Number.isFinite(completeDurationMs) ? completeDurationMs : null, keys };
  }

  /**
   * Imports the memory of the direct predecessor, which ended after the export. Only before the
   * first `start`.
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
   * Decides on a request and, if it is to run, adds its key.
   *
   * @param ageMs - The time since the caller first sent the key, as stated by the caller; undefined
   *   if not stated, in which case the key may be as old as the window.
   */
  start(key: string, fingerprint: string, ageMs: number | undefined, now: number): KeyVerdict<A> {
    const existing = this.#entries.get(key);
    if (existing) return verdictOf(existing, fingerprint);
    this.#dropOld(now);
    const { windowMs, maxDelayMs } = this.#limits;
    const age = ageMs === undefined ? windowMs : ageMs * (1 + CLOCK_RATE_MARGIN);
    // A delayed send states its age from before the delay. A later send of the key may have run at
    // the earlier incarnation in the meantime, so even an age of 0 counts from before the delay.
    const firstUse = now - age - maxDelayMs;
    if (firstUse < this.#completeSince) return { type: 'beyond-memory' };
    this.#entries.set(key, { fingerprint, firstAt: now, state: 'running', bytes: 0 });
    return { type: 'run' };
  }

  /** Records how the run ended. A key that did not run is forgotten, because it may run later. */
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

  /** Returns the time until keys without a stated age are accepted; 0 if they are now. */
  memoryGapMs(now: number): number {
    const { windowMs, maxDelayMs } = this.#limits;
    return Math.max(0, this.#completeSince + windowMs + maxDelayMs - now);
  }

  #dropOld(now: number): void {
    const { windowMs, maxDelayMs, maxKeys } = this.#limits;
    // Entries are kept past the oldest first use that `start` accepts. Otherwise dropping one would
    // cause new keys to be refused.
    const keepMs = windowMs + 2 * maxDelayMs;
    for (const [key, entry] of this.#entries) {
      const expired = now - entry.firstAt > keepMs;
      if (!expired && this.#entries.size < maxKeys) return;
      // A running key is kept: without it, a repeated request would run concurrently.
      if (entry.state !== 'running') {
        this.#entries.delete(key);
        this.#answerBytes -= entry.bytes;
        this.#completeSince = Math.max(this.#completeSince, entry.firstAt);
      }
    }
  }

  /** Drops the oldest answers first. The table still records that these keys ran. */
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
