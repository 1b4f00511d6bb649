import type { StoredKeyMemory, KeyedAnswer, KeyedRequest, Service } from '@redwingcrank/protocol';
import type { KeyMemory, RunOutcome } from '@redwingcrank/decisions';
import { KeyTable } from '@redwingcrank/decisions';
import { readAnswer } from './answer-buffer.js';
import type { Dispatcher } from './dispatcher.js';
import { endToEndHeaders } from './entry-headers.js';
import type { EntryMetrics } from './entry-metrics.js';
import { RequestError } from './problem.js';

export interface KeyHomeOptions {
  readonly dispatcher: Dispatcher;
  readonly metrics: EntryMetrics;
  readonly service: (name: string) => Service | undefined;
  /** Returns whether this node is the home of a key according to its own settings. */
  readonly isHome: (key: string) => boolean;
  readonly hostsDigest: string;
  readonly windowMs: number;
}

type AnswerResult = Extract<KeyedAnswer, { type: 'answer' }>;

/** Upper bound of the time that a request may stay in the socket of a paused or slow entry host. */
const MAX_DELAY_MS = 30_000;

const MAX_KEYS = 50_000;

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/**
 * Time that a keyed request may continue at its endpoint after its deadline: a late answer is kept
 * for repeats of the key.
 */
const LATE_ANSWER_MS = 10_000;

/** Result code and outcome of the key, for each case in which a repeat gets no answer. */
const PROBLEMS = {
  ran: ['answerNotKept', 'ran'],
  unknown: ['answerLost', 'unknown'],
  'beyond-memory': ['keyNotRemembered', 'unknown'],
  'other-request': ['keyReused', 'not-run'],
} as const;

/** The home of idempotency keys: runs each key at most once and remembers the outcome. */
export class KeyHomeTask {
  readonly #options: KeyHomeOptions;

  readonly #table: KeyTable<AnswerResult>;

  readonly #running = new Map<string, Promise<KeyedAnswer>>();

  #opened = false;

  #draining = false;

  constructor(options: KeyHomeOptions) {
    this.#options = options;
    const limits = {
      windowMs: options.windowMs,
      maxDelayMs: MAX_DELAY_MS,
      maxKeys: MAX_KEYS,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    };
    this.#table = new KeyTable(limits, performance.now());
  }

  /**
   * Opens the home once this process is registered in the log.
   *
   * Until then it runs no key: a process that ran keys without being registered would be missing
   * from the list of predecessors, and its successor would take an incomplete memory for a complete
   * one.
   *
   * @param memory - The memory of the predecessor; `nobody` if there never was a predecessor;
   *   undefined if its memory is lost.
   */
  open(memory: StoredKeyMemory | 'nobody' | undefined): void {
    if (memory === 'nobody') this.#table.assumeNoEarlierHome();
    else if (memory) this.#table.import(memory.memory, memory.heldMs, performance.now());
    this.#opened = true;
  }

  /** Returns the memory for the successor. Call it only after `drain` and `whenIdle`. */
  export(): KeyMemory {
    return this.#table.export(performance.now());
  }

  /** Starts no more runs; repeats of running keys still get their answers. */
  drain(): void {
    this.#draining = true;
  }

  /** Resolves when no key is running. */
  async whenIdle(): Promise<void> {
    await Promise.all(this.#running.values());
  }

  /** Answers a keyed request, from this node or from a peer. Never throws. */
  async answer(call: KeyedRequest): Promise<KeyedAnswer> {
    const refusal = this.#refusalOf(call);
    if (refusal) return refusal;
    const now = performance.now();
    const verdict = this.#table.start(nameOf(call), call.fingerprint, call.ageMs, now);
    this.#options.metrics.countKeyed(verdict.type);
    if (verdict.type === 'run') this.#start(call);
    if (verdict.type === 'run' || verdict.type === 'join') return this.#join(call);
    if (verdict.type === 'answer') return verdict.answer;
    return this.#problemOf(verdict.type);
  }

  #refusalOf({ key, hostsDigest, service }: KeyedRequest): KeyedAnswer | undefined {
    const { isHome } = this.#options;
    // With different lists of entry hosts a key has two homes, and each would run it once.
    if (hostsDigest !== this.#options.hostsDigest || !isHome(key)) {
      const detail = 'the entry hosts were set up with different lists of one another';
      return problem('keyHomeUnreachable', detail, 'unknown', true);
    }
    if (!this.#opened) {
      return problem('keyNotRemembered', 'the home is not on record yet', 'unknown', true);
    }
    if (this.#options.service(service)) return undefined;
    return problem('noSuchService', `no service ${service} at the key's home`, 'unknown', true);
  }

  #start(call: KeyedRequest): void {
    const name = nameOf(call);
    const run = this.#run(call).finally(() => this.#running.delete(name));
    this.#running.set(name, run);
  }

  /** Waits for the run of the key, up to this caller's own deadline. */
  async #join(call: KeyedRequest): Promise<KeyedAnswer> {
    const run = this.#running.get(nameOf(call));
    if (!run) return this.#problemOf('unknown');
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<KeyedAnswer>((resolve) => {
      const detail = 'the key is still running; send it again to get its answer';
      const onTimeout = (): void => resolve(problem('deadlineExceeded', detail, 'unknown', false));
      timer = setTimeout(onTimeout, call.leftMs);
    });
    const answer = await Promise.race([run, timeout]);
    clearTimeout(timer);
    return answer;
  }

  /** Runs a key and records the outcome, whatever it is, so that the key never runs again. */
  async #run(call: KeyedRequest): Promise<KeyedAnswer> {
    try {
      const answer = await this.#send(call);
      const bytes = answer.body.length;
      this.#table.end(nameOf(call), { type: 'answer', answer, bytes });
      return answer;
    } catch (err) {
      const refusal = err instanceof RequestError ? err : undefined;
      const outcome = refusal?.outcome ?? 'unknown';
      this.#table.end(nameOf(call), runOutcomeOf(outcome));
      const detail = err instanceof Error ? err.message : String(err);
      const code = refusal?.key ?? 'answerLost';
      return problem(code, detail, outcome, outcome === 'not-run', refusal?.retryAfterS);
    }
  }

  async #send(call: KeyedRequest): Promise<AnswerResult> {
    if (this.#draining) throw new RequestError('draining', 'the home shuts down', 'not-run');
    const service = this.#options.service(call.service);
    if (!service) throw new RequestError('noSuchService', call.service, 'not-run');
    const { method, path, headers, leftMs } = call;
    const body = Buffer.from(call.body, 'base64');
    const res = await this.#options.dispatcher.send({
      service,
      idempotent: false,
      request: { method, path, headers, body },
      deadlineAt: performance.now() + leftMs,
      signal: AbortSignal.timeout(Math.ceil(leftMs) + LATE_ANSWER_MS),
    });
    const buffered = await readAnswer(res);
    return {
      type: 'answer',
      status: buffered.status,
      headers: endToEndHeaders(buffered.headers) as Record<string, string | string[]>,
      body: buffered.body.toString('base64'),
    };
  }

  #problemOf(type: keyof typeof PROBLEMS): KeyedAnswer {
    const [code, outcome] = PROBLEMS[type];
    const gap = type === 'beyond-memory' ? this.#table.memoryGapMs(performance.now()) : 0;
    const detail = gap > 0 ? `keys of any age are taken in ${Math.ceil(gap)} ms` : type;
    return problem(code, detail, outcome, true);
  }
}

/** Returns the name of a key in the table; it includes the service, so services share no key. */
function nameOf({ service, key }: KeyedRequest): string {
  return `${service} ${key}`;
}

function runOutcomeOf(outcome: RequestError['outcome']): RunOutcome<AnswerResult> {
  // The answer was too large to keep: the key ran, and a repeat must learn that.
  if (outcome === 'ran') return { type: 'ran' };
  return { type: outcome };
}

function problem(
  code: Extract<KeyedAnswer, { type: 'problem' }>['code'],
  detail: string,
  outcome: RequestError['outcome'],
  thisSendNotRun: boolean,
  retryAfterS?: number,
): KeyedAnswer {
  const retry = retryAfterS !== undefined && { retryAfterS };
  return { type: 'problem', code, detail, outcome, thisSendNotRun, ...retry };
}
