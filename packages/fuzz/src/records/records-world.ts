import { JobProgress, PLAIN_STEP, Scheduler } from '@redwingcrank/jobs';
import {
  VALID_REPORT,
  decodeConfig,
  decodeNewest,
  decodeOrderAnswer,
  decodeRead,
  decodeRenewAnswer,
  decodeWorker,
  isConfig,
  isCompleteReport,
  isWorkerEntry,
} from '@redwingcrank/platform/fuzzing';
import type { KeyedRecord } from '@redwingcrank/runtime';
import { WorkTable } from '@redwingcrank/runtime/work-table';
import type { Coverage } from '../coverage.js';
import type { Mutation } from '../targets/mutated-json.js';
import { mutate } from '../targets/mutated-json.js';
import type { ByteDamage, SpoiltRecord } from './damaged-bytes.js';
import { pageOf, spoil } from './damaged-bytes.js';
import type { RecordKind } from './sound-records.js';
import { soundRecord } from './sound-records.js';

/** One record or answer that the world meets. */
export interface Meeting {
  readonly kind: RecordKind;
  /** Which of a few keys it is about. */
  readonly which: number;
  readonly mutations: readonly Mutation[];
  readonly damage: ByteDamage;
  readonly at: number;
}

const TIMING = {
  leaseMs: 6_000,
  inheritedLeaseMs: 9_000,
  stallTimeoutMs: 2_500,
  stopRetryMs: 1_200,
};

/** Statuses that a worker, or something else at its address, may answer. */
const STATUSES = [200, 204, 302, 400, 404, 409, 421, 429, 500, 502, 503];

const QUEUE = {
  name: 'q',
  pool: 'pool',
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 0,
};

/** Reads what it meets as a node does, and compares with what a judge of its own makes of it. */
export class RecordsWorld {
  readonly #coverage: Coverage;

  /** By worker: whether its newest entry names one to use, as the judge has it. */
  readonly #judged = new Map<string, boolean>();

  /** The same as the node has it. */
  readonly #usable = new Map<string, boolean>();

  readonly #table = new WorkTable('n9');

  /** Jobs of which a sound record was met. */
  readonly #soundJobs = new Set<string>();

  constructor(coverage: Coverage) {
    this.#coverage = coverage;
  }

  /** Meets some records on one page of the log; `from` is the offset of the first. */
  page(meetings: readonly Meeting[], from: number): void {
    const stored = meetings.filter(({ kind }) => kind !== 'report' && kind !== 'order-answer');
    const spoilt = stored.map((meeting) => this.#spoilt(meeting));
    const page = pageOf(
      from + stored.length,
      spoilt.map(({ content }) => content),
    );
    const { records } = decodeRead(page, from);
    if (records.length !== stored.length) throw new Error('a record hides another');
    for (const [i, rec] of records.entries()) this.#met(stored[i]!.kind, spoilt[i]!, rec);
    this.#newest(spoilt);
    this.#checkWorkers();
    this.#checkJobs();
    for (const meeting of meetings) if (!stored.includes(meeting)) this.#answer(meeting);
  }

  /** A page that is cut anywhere: what is before the cut is read, and reading on gets past it. */
  cutPage(meetings: readonly Meeting[], from: number, cutAt: number): void {
    const contents = meetings.map((meeting) => this.#spoilt(meeting).content);
    const page = pageOf(from + contents.length, contents);
    const cut = 16 + (cutAt % (page.length - 16));
    const { records } = decodeRead(page.subarray(0, cut), from);
    const whole = decodeRead(page, from).records;
    const isStuck = records.length === 0 && cut > 16;
    if (isStuck) throw new Error('reading never gets past the cut');
    const [first] = records;
    const isPassedOver = records.length === 1 && first?.fault?.field === 'record';
    const before = isPassedOver ? [] : records;
    if (JSON.stringify(before) !== JSON.stringify(whole.slice(0, before.length))) {
      throw new Error('a cut changed a record before it');
    }
    this.#coverage.hit('cut-page');
  }

  #spoilt({ kind, which, mutations, damage, at }: Meeting): SpoiltRecord {
    this.#coverage.hit(damage);
    if (damage === 'none') this.#coverage.hit(kind);
    const { key, value } = soundRecord(kind, which);
    const changed = mutations.reduce<unknown>(mutate, value);
    return spoil(key, JSON.stringify(changed), damage, at);
  }

  #met(kind: RecordKind, spoilt: SpoiltRecord, rec: KeyedRecord): void {
    this.#coverage.step();
    if (rec.fault === undefined && rec.key !== spoilt.key) throw new Error('another key');
    if (rec.fault === undefined && rec.value !== spoilt.text) throw new Error('another value');
    if (spoilt.key === undefined && !rec.fault) throw new Error('a record without a key was read');
    if (kind === 'worker') this.#worker(spoilt, rec);
    else if (kind === 'config') this.#config(spoilt, rec);
    else if (kind === 'wave' && decodeConfig(rec)) throw new Error('a wave as configuration');
    else if (kind !== 'wave') this.#work(kind, spoilt, rec);
  }

  #worker({ key, text, content }: SpoiltRecord, rec: KeyedRecord): void {
    if (key !== undefined) {
      const isDeletion = content.length === 1 + Buffer.byteLength(key);
      this.#judged.set(key, !isDeletion && text !== undefined && isWorkerEntry(parse(text)));
    }
    const isDeleted = rec.value === undefined && !rec.fault;
    const decoded = decodeWorker(rec);
    const isUsable = !isDeleted && 'value' in decoded;
    if (key !== undefined || isUsable) this.#usable.set(rec.key, isUsable);
    if (isUsable) this.#coverage.hit('worker-used');
    else if (!isDeleted) this.#coverage.hit('worker-refused');
  }

  #config({ key, text }: SpoiltRecord, rec: KeyedRecord): void {
    const decoded = decodeConfig(rec);
    const mayApply = key !== undefined && text !== undefined && isConfig(parse(text));
    if (mayApply !== (decoded !== undefined && 'value' in decoded)) {
      throw new Error(`a configuration that may ${mayApply ? '' : 'not '}come into force`);
    }
    this.#coverage.hit(mayApply ? 'config-used' : 'config-refused');
  }

  #work(kind: RecordKind, { key, text, content }: SpoiltRecord, rec: KeyedRecord): void {
    const before = this.#table.leader;
    this.#table.apply(rec);
    const isSound = key !== undefined && text === soundRecord(kind, Number(key.at(-1)) || 0).text;
    if (kind === 'job' && isSound) this.#soundJobs.add(key.slice(2));
    const id = key?.slice(2) ?? '';
    if (kind === 'progress' && isSound && this.#table.jobs.get(id)?.isUnsure) {
      throw new Error('sound progress was not taken');
    }
    const isDeletion = key !== undefined && content.length === 1 + Buffer.byteLength(key);
    if (kind === 'job' && isDeletion) this.#soundJobs.delete(key.slice(2));
    const { leader } = this.#table;
    if (leader && !Number.isSafeInteger(leader.epoch)) throw new Error('a leader without epoch');
    if (kind === 'leader' && key === undefined && leader !== before) {
      throw new Error('a record without a key named a leader');
    }
  }

  /** The same records on a page of the newest: none may hide another there either. */
  #newest(spoilt: readonly SpoiltRecord[]): void {
    const items = spoilt.map(({ key, text, content }, i) => {
      if (key === undefined) return [null, {}, { value: '' }, { key: 7, value: '!' }][i % 4];
      const value = content.subarray(1 + Buffer.byteLength(key));
      return { key, value: i % 5 === 4 ? text : value.toString('base64') };
    });
    items.push({ key: 'last', value: Buffer.from('{}').toString('base64') });
    const page = { items, has_more: true, end_offset: 7 };
    const { records } = decodeNewest(JSON.parse(JSON.stringify(page)));
    if (records.length !== items.length) throw new Error('an item hides another');
    if (records.at(-1)?.key === '') throw new Error('no next page could be asked for');
    for (const [i, { key, text }] of spoilt.entries()) {
      const rec = records[i]!;
      const isIntact = key !== undefined && text !== undefined && i % 5 !== 4;
      if (isIntact && (rec.fault || rec.value !== text)) throw new Error('a sound item was lost');
    }
  }

  #checkWorkers(): void {
    for (const [id, isUsable] of this.#judged) {
      if ((this.#usable.get(id) ?? false) !== isUsable) {
        throw new Error(`${id} ${isUsable ? 'may' : 'must not'} be used`);
      }
    }
    for (const [id, isUsable] of this.#usable) {
      if (isUsable && !this.#judged.get(id)) throw new Error(`${id} was never named`);
    }
  }

  /** Whatever the table took can be scheduled, and no sound job is missing. */
  #checkJobs(): void {
    for (const id of this.#soundJobs) {
      if (!this.#table.jobs.has(id)) throw new Error(`the sound job ${id} is not there`);
    }
    const scheduler = new Scheduler(TIMING, 0, () => {});
    scheduler.setQueues([QUEUE]);
    scheduler.restoreLearned(this.#table.learned);
    for (const { spec, progress, isUnsure } of this.#table.jobs.values()) {
      if (isUnsure) this.#coverage.hit('job-unsure');
      else {
        const job = progress ? JobProgress.decode(spec, progress) : new JobProgress(spec);
        checkJob(job);
        scheduler.addJob(job);
      }
    }
    scheduler.decide(1, 1);
  }

  #answer({ kind, mutations, damage, at }: Meeting): void {
    this.#coverage.step();
    const body = mutations.reduce<unknown>(mutate, VALID_REPORT);
    const inBody = damage === 'no-text' || damage === 'cut-value' ? damage : 'none';
    const { text, content } = spoil('', JSON.stringify(body), inBody, at);
    const answer = { status: 200, body: content.subarray(1) };
    if (kind === 'report') this.#report(answer.body, text);
    else this.#orderAnswer(answer.body, at);
  }

  #report(body: Buffer, text: string | undefined): void {
    const { outcome } = decodeRenewAnswer({ status: 200, body });
    const isWhole = text !== undefined && isCompleteReport(parse(text));
    if ((outcome === 'done') !== isWhole) throw new Error(`a report with outcome ${outcome}`);
    this.#coverage.hit(isWhole ? 'report-believed' : 'report-refused');
  }

  /** Only the worker's own words may release a run: all else is left to its lists. */
  #orderAnswer(body: Buffer, at: number): void {
    const status = STATUSES[at % STATUSES.length]!;
    const { outcome } = decodeOrderAnswer({ status, body });
    if (outcome === 'done' && status !== 200) throw new Error(`done with status ${status}`);
    const isUnclear = status === 409 || status >= 500 || (status > 200 && status < 400);
    if (isUnclear && outcome !== 'unknown' && status !== 503) {
      throw new Error(`${outcome} with status ${status}`);
    }
    const renewed = decodeRenewAnswer({ status, body });
    if (renewed.outcome === 'fenced' && status !== 409) throw new Error('fenced by a stranger');
  }
}

/** The claims are what a step has, and there is progress for each of the tasks. */
function checkJob({ spec, occurrences }: JobProgress): void {
  for (const step of spec.steps) {
    for (const [name, plain] of Object.entries(PLAIN_STEP)) {
      const value: unknown = step[name as keyof typeof step];
      const isNumber = typeof value === 'number' && value >= 0 && value < Infinity;
      const fits = typeof plain === 'number' ? isNumber : typeof value === typeof plain;
      if (!fits) throw new Error(`${spec.id}: ${name} is ${JSON.stringify(value)}`);
    }
  }
  for (const { steps } of occurrences.values()) {
    const counts = steps.map((tasks) => tasks.length);
    const claimed = spec.steps.map(({ taskCount }) => taskCount);
    if (`${counts}` !== `${claimed}`) throw new Error(`${spec.id}: progress of other tasks`);
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
