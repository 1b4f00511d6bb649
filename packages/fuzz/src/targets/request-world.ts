import type { KeyMemory, KeyVerdict, RunOutcome } from '@redwingcrank/decisions';
import { KeyTable, keyHome } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';
import type { RequestStep } from './requests.js';

/** The entry hosts that the settings of every host list. */
export const HOSTS = [
  { nodeId: 'a1', dataCentre: 'dc1' },
  { nodeId: 'a2', dataCentre: 'dc1' },
  { nodeId: 'b1', dataCentre: 'dc2' },
] as const;

export const KEYS = ['k1', 'k2', 'k3', 'dc1/k4', 'dc2/k5'] as const;

/** The value of `contentDraw`, drawn from 0 up to this, that sends a key with other content. */
export const OTHER_CONTENT = 9;

const LIMITS = { windowMs: 600_000, maxDelayMs: 30_000, maxKeys: 2, maxAnswerBytes: 2 };

/** The rate of the callers' clocks; the table allows for clocks that are slightly slower still. */
const CALLER_CLOCK_RATE = 0.995;

const ANSWER_BYTES = 1;

interface Host {
  readonly nodeId: string;
  incarnation: number;
  table: KeyTable<string>;
  isCut: boolean;
  /** The keys that a drained process handed over; set until the host is started again. */
  handedOver: { readonly memory: KeyMemory; readonly at: number } | undefined;
}

interface Send {
  readonly key: string;
  readonly content: string;
  readonly at: number;
  readonly ageMs: number | undefined;
  readonly host: number;
}

interface Run {
  readonly key: string;
  readonly content: string;
  readonly home: Host;
  readonly incarnation: number;
  started: boolean;
}

/**
 * Models entry hosts, callers and endpoints around the real key tables, in virtual time. Counts the
 * runs at the endpoints and checks all answers to callers against them.
 */
export class RequestWorld {
  readonly #coverage: Coverage;

  readonly #hosts: readonly Host[];

  readonly #firstSends = new Map<string, number>();

  readonly #crashedHomes = new Set<string>();

  readonly #runs = new Map<string, number>();

  #inFlight: Send[] = [];

  #openRuns: Run[] = [];

  #now = 0;

  constructor(coverage: Coverage) {
    this.#coverage = coverage;
    this.#hosts = HOSTS.map(({ nodeId }) => {
      const table = new KeyTable<string>(LIMITS, this.#now);
      // The first process of each host finds no predecessor on the log.
      table.assumeNoEarlierHome();
      return { nodeId, incarnation: 0, table, isCut: false, handedOver: undefined };
    });
  }

  step(drawn: RequestStep): void {
    const host = this.#hosts[drawn.host] as Host;
    switch (drawn.kind) {
      case 'send':
        return this.#send(drawn);
      case 'deliver':
        return this.#deliver(drawn.index);
      case 'start':
        return this.#start(drawn.index);
      case 'finish':
        return this.#end(drawn.index, 'answer');
      case 'lose':
        return this.#end(drawn.index, 'unknown');
      case 'refuse':
        return this.#end(drawn.index, 'not-run');
      case 'crash':
        return this.#restart(host);
      case 'drain':
        return this.#drain(host);
      case 'cut':
        host.isCut = true;
        return undefined;
      case 'heal':
        host.isCut = false;
        return undefined;
      default:
        this.#now += drawn.ms;
        return undefined;
    }
  }

  /** Sends a key for the first time or again, but never after its window. */
  #send({ key: index, host, sendsAge, contentDraw }: RequestStep): void {
    const key = KEYS[index] as string;
    const first = this.#firstSends.get(key) ?? this.#now;
    this.#firstSends.set(key, first);
    const age = this.#now - first;
    if (age > LIMITS.windowMs) return;
    const ageMs = sendsAge ? Math.floor(age * CALLER_CLOCK_RATE) : undefined;
    const content = contentDraw === OTHER_CONTENT ? `${key}'` : key;
    this.#inFlight.push({ key, content, at: this.#now, ageMs, host });
  }

  /** Delivers a send, in any order, to its entry host and from there to the key's home. */
  #deliver(index: number): void {
    const send = this.#take(this.#inFlight, index);
    if (!send || this.#now - send.at > LIMITS.maxDelayMs) return;
    if (this.#now > send.at) this.#coverage.hit('late-send');
    const entry = this.#hosts[send.host] as Host;
    const homeId = keyHome(send.key, HOSTS);
    const home = this.#hosts.find(({ nodeId }) => nodeId === homeId);
    if (!home || home.handedOver || entry.handedOver) return;
    if (home !== entry && (home.isCut || entry.isCut)) {
      this.#coverage.hit('home-cut');
      return;
    }
    this.#startAtHome(home, send);
  }

  #startAtHome(home: Host, send: Send): void {
    const sizeBefore = home.table.size;
    const verdict = home.table.start(send.key, send.content, send.ageMs, this.#now);
    if (home.table.size < sizeBefore + (verdict.type === 'run' ? 1 : 0)) {
      this.#coverage.hit('entry-dropped');
    }
    this.#countVerdict(home, send, verdict);
    if (verdict.type === 'run') {
      const { incarnation } = home;
      const { key, content } = send;
      this.#openRuns.push({ key, content, home, incarnation, started: false });
    }
    if (verdict.type === 'answer') checkAnswer(send, verdict.answer);
  }

  #countVerdict(home: Host, send: Send, { type }: KeyVerdict<string>): void {
    if (type === 'join') this.#coverage.hit('repeat-while-running');
    if (type === 'answer' || type === 'ran') this.#coverage.hit('repeat-when-done');
    if (type === 'other-request') this.#coverage.hit('content-differs');
    const ranBefore = (this.#runs.get(send.key) ?? 0) > 0;
    if (this.#crashedHomes.has(home.nodeId) && ranBefore && type === 'beyond-memory') {
      this.#coverage.hit('repeat-after-crash');
    }
  }

  /** Lets the endpoint read a request, even if the home that sent it has crashed meanwhile. */
  #start(index: number): void {
    const run = this.#openRuns.filter(({ started }) => !started)[index % 3];
    if (run) this.#startRun(run);
  }

  #startRun(run: Run): void {
    Object.assign(run, { started: true });
    const runs = (this.#runs.get(run.key) ?? 0) + 1;
    this.#runs.set(run.key, runs);
    if (runs > 1) throw new Error(`${run.key} ran ${runs} times`);
  }

  #end(index: number, type: RunOutcome<string>['type']): void {
    const run = this.#openRuns[index % Math.max(1, this.#openRuns.length)];
    if (!run || (type === 'answer' && !run.started) || (type === 'not-run' && run.started)) return;
    if (type === 'unknown' && !run.started) return;
    this.#openRuns = this.#openRuns.filter((other) => other !== run);
    if (run.home.incarnation !== run.incarnation) {
      this.#coverage.hit('answer-after-crash');
      return;
    }
    if (type === 'answer') {
      run.home.table.end(run.key, { type, answer: run.content, bytes: ANSWER_BYTES });
      return;
    }
    this.#coverage.hit(type === 'not-run' ? 'not-run' : 'answer-lost');
    if (type === 'not-run' && this.#runs.has(run.key))
      throw new Error(`${run.key} ended as not-run but has run`);
    run.home.table.end(run.key, { type: type as 'unknown' | 'not-run' });
  }

  /** Shuts the host down gracefully: open runs are answered first, and peers keep its keys. */
  #drain(host: Host): void {
    if (host.handedOver) return;
    this.#coverage.hit('home-drained');
    for (const run of this.#openRuns.filter((r) => this.#isOf(r, host))) {
      if (!run.started) this.#startRun(run);
      this.#end(this.#openRuns.indexOf(run), 'answer');
    }
    Object.assign(host, { handedOver: { memory: host.table.export(this.#now), at: this.#now } });
  }

  #isOf(run: Run, host: Host): boolean {
    return run.home === host && run.incarnation === host.incarnation;
  }

  #restart(host: Host): void {
    if (this.#openRuns.some((r) => this.#isOf(r, host))) this.#coverage.hit('crash-while-running');
    this.#crashedHomes.add(host.nodeId);
    host.incarnation += 1;
    host.table = new KeyTable<string>(LIMITS, this.#now);
    if (!host.handedOver) return;
    const { memory, at } = host.handedOver;
    if (memory.keys.length > 0) this.#coverage.hit('memory-handed-on');
    host.table.import(memory, this.#now - at, this.#now);
    Object.assign(host, { handedOver: undefined });
  }

  #take<T>(items: T[], index: number): T | undefined {
    return items.splice(index % Math.max(1, items.length), 1)[0];
  }
}

function checkAnswer({ key, content }: Send, answer: string): void {
  if (answer !== content)
    throw new Error(`${key}: the request ${content} got the answer to ${answer}`);
}
