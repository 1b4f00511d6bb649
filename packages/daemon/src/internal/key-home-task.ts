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
  /** Whether this node is the home of a key, by its own settings. */
  readonly isHome: (key: string) => boolean;
  readonly hostsDigest: string;
  readonly windowMs: number;
}

type Answered = Extract<KeyedAnswer, { type: 'answer' }>;

/** Longer than a request may stay in the socket of a paused or slow entry host. */
const MAX_DELAY_MS = 30_000;

const MAX_KEYS = 50_000;

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/**
 * A keyed request that is at its endpoint runs on for so long after its deadline: the answer may
 * come late, and whoever sends the key again gets it.
 */
const LATE_ANSWER_MS = 10_000;

/** Which code tells a repeat that there is no answer for it, and what is known of the key. */
const PROBLEMS = {
  ran: ['answerNotKept', 'ran'],
  unknown: ['answerLost', 'unknown'],
  'beyond-memory': ['keyNotRemembered', 'unknown'],
  'other-request': ['keyReused', 'not-run'],
} as const;

/** The home of idempotency keys: runs each at most once, and remembers how that ended. */
export class KeyHomeTask {
  readonly #options: KeyHomeOptions;

  readonly #table: KeyTable<Answered>;

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
   * Opens the home once this process is on record.
   *
   * Until then it runs no key: a process that ran keys without a record would be missing in the
   * line of predecessors, and its successor would take a memory for complete that is not.
   *
   * @param memory - What the predecessor handed on; `nobody` where there never was one; undefined
   *   where its memory is lost.
   */
  open(memory: StoredKeyMemory | 'nobody' | undefined): void {
    if (memory === 'nobody') this.#table.assumeNoEarlierHome();
    else if (memory) this.#table.import(memory.memory, memory.heldMs, performance.now());
    this.#opened = true;
  }

  /** What the successor has to know; only after `drain` and `whenIdle`. */
  export(): KeyMemory {
    return this.#table.export(performance.now());
  }

  /** Starts no more runs; repeats of those that run still get their answers. */
  drain(): void {
    this.#draining = true;
  }

  /** Settles when nothing runs any more. */
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
    // Two lists of entry hosts give a key two homes, and each would run it once.
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

  /** Waits for the one run, as long as this caller's own deadline allows. */
  async #join(call: KeyedRequest): Promise<KeyedAnswer> {
    const run = this.#running.get(nameOf(call));
    if (!run) return this.#problemOf('unknown');
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<KeyedAnswer>((resolve) => {
      const detail = 'the key is still running; send it again to get its answer';
      const give = (): void => resolve(problem('deadlineExceeded', detail, 'unknown', false));
      timer = setTimeout(give, call.leftMs);
    });
    const answer = await Promise.race([run, late]);
    clearTimeout(timer);
    return answer;
  }

  /** Runs a key for its only time and takes down the end, whatever that is. */
  async #run(call: KeyedRequest): Promise<KeyedAnswer> {
    try {
      const answer = await this.#send(call);
      const bytes = answer.body.length;
      this.#table.end(nameOf(call), { type: 'answer', answer, bytes });
      return answer;
    } catch (err) {
      const known = err instanceof RequestError ? err : undefined;
      const outcome = known?.outcome ?? 'unknown';
      this.#table.end(nameOf(call), endOf(outcome));
      const detail = err instanceof Error ? err.message : String(err);
      const code = known?.key ?? 'answerLost';
      return problem(code, detail, outcome, outcome === 'not-run', known?.retryAfterS);
    }
  }

  async #send(call: KeyedRequest): Promise<Answered> {
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
    const whole = await readAnswer(res);
    return {
      type: 'answer',
      status: whole.status,
      headers: endToEndHeaders(whole.headers) as Record<string, string | string[]>,
      body: whole.body.toString('base64'),
    };
  }

  #problemOf(type: keyof typeof PROBLEMS): KeyedAnswer {
    const [code, outcome] = PROBLEMS[type];
    const gap = type === 'beyond-memory' ? this.#table.memoryGapMs(performance.now()) : 0;
    const detail = gap > 0 ? `keys of any age are taken in ${Math.ceil(gap)} ms` : type;
    return problem(code, detail, outcome, true);
  }
}

/** Keys of two services never meet. */
function nameOf({ service, key }: KeyedRequest): string {
  return `${service} ${key}`;
}

function endOf(outcome: RequestError['outcome']): RunOutcome<Answered> {
  // An answer that was too large to keep: the key ran, and a repeat must be told so.
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
