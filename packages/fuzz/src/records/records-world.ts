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
import type { ByteDamage, DamagedRecord } from './damaged-bytes.js';
import { pageOf, damageRecord } from './damaged-bytes.js';
import type { RecordKind } from './valid-records.js';
import { hasValidTaskCounts, validRecord } from './valid-records.js';

/** One record or answer to read. */
export interface RecordInput {
  readonly kind: RecordKind;
  /** Selects one of a few keys. */
  readonly keyIndex: number;
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

/** Statuses that a worker, or another server at its address, may answer. */
const STATUSES = [200, 204, 302, 400, 404, 409, 421, 429, 500, 502, 503];

/** Characters with a meaning in progress records, and some without one. */
const TEXT_CHARS = '!~.,;|%wdrc019-/ é';

const QUEUE = {
  name: 'q',
  pool: 'pool',
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 0,
};

/** Reads records and answers as a node does, and compares the results with its own expectations. */
export class RecordsWorld {
  readonly #coverage: Coverage;

  /** Whether each worker's newest entry should be usable, by worker. */
  readonly #expectedUsable = new Map<string, boolean>();

  /** Whether the node regards each worker's newest entry as usable, by worker. */
  readonly #actualUsable = new Map<string, boolean>();

  readonly #table = new WorkTable('n9');

  /** Jobs of which a valid record was read. */
  readonly #validJobs = new Set<string>();

  constructor(coverage: Coverage) {
    this.#coverage = coverage;
  }

  /** Reads records from one page of the log, then answers; `from` is the first record's offset. */
  readPage(inputs: readonly RecordInput[], from: number): void {
    const stored = inputs.filter(({ kind }) => kind !== 'report' && kind !== 'order-answer');
    const damaged = stored.map((input) => this.#damaged(input));
    const page = pageOf(
      from + stored.length,
      damaged.map(({ content }) => content),
    );
    const { records } = decodeRead(page, from);
    if (records.length !== stored.length)
      throw new Error('the page yields another number of records than it holds');
    for (const [i, rec] of records.entries()) this.#checkRecord(stored[i]!.kind, damaged[i]!, rec);
    this.#checkNewest(damaged);
    this.#checkWorkers();
    this.#checkJobs();
    for (const input of inputs) if (!stored.includes(input)) this.#checkAnswer(input);
  }

  /** Reads a truncated page: records before the cut are read, and reading can continue past it. */
  readCutPage(inputs: readonly RecordInput[], from: number, cutAt: number): void {
    const contents = inputs.map((input) => this.#damaged(input).content);
    const page = pageOf(from + contents.length, contents);
    const cut = 16 + (cutAt % (page.length - 16));
    const { records } = decodeRead(page.subarray(0, cut), from);
    const complete = decodeRead(page, from).records;
    const isStuck = records.length === 0 && cut > 16;
    if (isStuck)
      throw new Error('a truncated page yields no record, so reading cannot continue past the cut');
    const [first] = records;
    const isSkipped = records.length === 1 && first?.fault?.field === 'record';
    const before = isSkipped ? [] : records;
    if (JSON.stringify(before) !== JSON.stringify(complete.slice(0, before.length))) {
      throw new Error('a cut changed a record before the cut');
    }
    this.#coverage.hit('cut-page');
  }

  #damaged({ kind, keyIndex, mutations, damage, at }: RecordInput): DamagedRecord {
    this.#coverage.hit(damage);
    if (damage === 'none') this.#coverage.hit(kind);
    const { key, value, text } = validRecord(kind, keyIndex);
    const isProgress = kind === 'progress';
    if (isProgress && mutations.length === 0) return damageRecord(key, text, damage, at);
    if (isProgress && at % 2 === 0) {
      this.#coverage.hit('changed-text');
      return damageRecord(key, changeText(text, mutations.length, at), damage, at);
    }
    const changed = mutations.reduce<unknown>(mutate, value);
    return damageRecord(key, JSON.stringify(changed), damage, at);
  }

  #checkRecord(kind: RecordKind, damaged: DamagedRecord, rec: KeyedRecord): void {
    this.#coverage.step();
    if (rec.fault === undefined && rec.key !== damaged.key)
      throw new Error('the record was read with a wrong key');
    if (rec.fault === undefined && rec.value !== damaged.text)
      throw new Error('the record was read with a wrong value');
    if (damaged.key === undefined && !rec.fault)
      throw new Error('a record without a key was read as valid');
    if (kind === 'worker') this.#checkWorker(damaged, rec);
    else if (kind === 'config') this.#checkConfig(damaged, rec);
    else if (kind === 'wave' && decodeConfig(rec))
      throw new Error('a wave record was decoded as configuration');
    else if (kind !== 'wave') this.#checkWork(kind, damaged, rec);
  }

  #checkWorker({ key, text, content }: DamagedRecord, rec: KeyedRecord): void {
    if (key !== undefined) {
      const isDeletion = content.length === 1 + Buffer.byteLength(key);
      this.#expectedUsable.set(
        key,
        !isDeletion && text !== undefined && isWorkerEntry(parse(text)),
      );
    }
    const isDeleted = rec.value === undefined && !rec.fault;
    const decoded = decodeWorker(rec);
    const isUsable = !isDeleted && 'value' in decoded;
    if (key !== undefined || isUsable) this.#actualUsable.set(rec.key, isUsable);
    if (isUsable) this.#coverage.hit('worker-used');
    else if (!isDeleted) this.#coverage.hit('worker-refused');
  }

  #checkConfig({ key, text }: DamagedRecord, rec: KeyedRecord): void {
    const decoded = decodeConfig(rec);
    const mayApply = key !== undefined && text !== undefined && isConfig(parse(text));
    if (mayApply !== (decoded !== undefined && 'value' in decoded)) {
      throw new Error(`the configuration must ${mayApply ? '' : 'not '}be accepted`);
    }
    this.#coverage.hit(mayApply ? 'config-used' : 'config-refused');
  }

  #checkWork(kind: RecordKind, { key, text, content }: DamagedRecord, rec: KeyedRecord): void {
    const before = this.#table.leader;
    this.#table.apply(rec);
    const isValid = key !== undefined && text === validRecord(kind, Number(key.at(-1)) || 0).text;
    if (kind === 'job' && isValid) this.#validJobs.add(key.slice(2));
    const id = key?.slice(2) ?? '';
    const job = this.#table.jobs.get(id);
    // A changed record of the job may have other tasks than the progress.
    if (kind === 'progress' && isValid && job?.isUnsure && hasValidTaskCounts(job.spec)) {
      throw new Error('valid progress was not applied');
    }
    const isDeletion = key !== undefined && content.length === 1 + Buffer.byteLength(key);
    if (kind === 'job' && isDeletion) this.#validJobs.delete(key.slice(2));
    const { leader } = this.#table;
    if (leader && !Number.isSafeInteger(leader.epoch))
      throw new Error('the leader has no integer epoch');
    if (kind === 'leader' && key === undefined && leader !== before) {
      throw new Error('a record without a key changed the leader');
    }
  }

  /** Checks the same records on a page of newest records: no record may hide another there either. */
  #checkNewest(damaged: readonly DamagedRecord[]): void {
    const items = damaged.map(({ key, text, content }, i) => {
      if (key === undefined) return [null, {}, { value: '' }, { key: 7, value: '!' }][i % 4];
      const value = content.subarray(1 + Buffer.byteLength(key));
      return { key, value: i % 5 === 4 ? text : value.toString('base64') };
    });
    items.push({ key: 'last', value: Buffer.from('{}').toString('base64') });
    const page = { items, has_more: true, end_offset: 7 };
    const { records } = decodeNewest(JSON.parse(JSON.stringify(page)));
    if (records.length !== items.length)
      throw new Error('the page of newest records yields another number of records than it holds');
    if (records.at(-1)?.key === '')
      throw new Error('the last record has no key, so the next page cannot be requested');
    for (const [i, { key, text }] of damaged.entries()) {
      const rec = records[i]!;
      const isIntact = key !== undefined && text !== undefined && i % 5 !== 4;
      if (isIntact && (rec.fault || rec.value !== text))
        throw new Error('a valid item was not read correctly');
    }
  }

  #checkWorkers(): void {
    for (const [id, isUsable] of this.#expectedUsable) {
      if ((this.#actualUsable.get(id) ?? false) !== isUsable) {
        throw new Error(`worker ${id} must ${isUsable ? '' : 'not '}be used`);
      }
    }
    for (const [id, isUsable] of this.#actualUsable) {
      if (isUsable && !this.#expectedUsable.get(id))
        throw new Error(`worker ${id} is used without a valid entry`);
    }
  }

  /** Checks that every job of the table can be scheduled and that no valid job is missing. */
  #checkJobs(): void {
    for (const id of this.#validJobs) {
      if (!this.#table.jobs.has(id)) throw new Error(`the valid job ${id} is missing`);
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

  #checkAnswer({ kind, mutations, damage, at }: RecordInput): void {
    this.#coverage.step();
    const body = mutations.reduce<unknown>(mutate, VALID_REPORT);
    const inBody = damage === 'no-text' || damage === 'cut-value' ? damage : 'none';
    const { text, content } = damageRecord('', JSON.stringify(body), inBody, at);
    const answer = { status: 200, body: content.subarray(1) };
    if (kind === 'report') this.#checkReport(answer.body, text);
    else this.#checkOrderAnswer(answer.body, at);
  }

  #checkReport(body: Buffer, text: string | undefined): void {
    const { outcome } = decodeRenewAnswer({ status: 200, body });
    const isComplete = text !== undefined && isCompleteReport(parse(text));
    if ((outcome === 'done') !== isComplete)
      throw new Error(`wrong outcome ${outcome} for a report`);
    this.#coverage.hit(isComplete ? 'report-believed' : 'report-refused');
  }

  /** Checks that only a worker's own answer releases a run; other answers leave that to its reports. */
  #checkOrderAnswer(body: Buffer, at: number): void {
    const status = STATUSES[at % STATUSES.length]!;
    const { outcome } = decodeOrderAnswer({ status, body });
    if (outcome === 'done' && status !== 200) throw new Error(`outcome done for status ${status}`);
    const isInconclusive = status === 409 || status >= 500 || (status > 200 && status < 400);
    if (isInconclusive && outcome !== 'unknown' && status !== 503) {
      throw new Error(`outcome ${outcome} for the inconclusive status ${status}`);
    }
    const renewed = decodeRenewAnswer({ status, body });
    if (renewed.outcome === 'fenced' && status !== 409)
      throw new Error('outcome fenced for a status other than 409');
  }
}

/** Checks that each step has valid claims and that there is progress for each of its tasks. */
function checkJob({ spec, occurrences }: JobProgress): void {
  for (const step of spec.steps) {
    for (const [name, defaultValue] of Object.entries(PLAIN_STEP)) {
      const value: unknown = step[name as keyof typeof step];
      const isNumber = typeof value === 'number' && value >= 0 && value < Infinity;
      const isExpected =
        typeof defaultValue === 'number' ? isNumber : typeof value === typeof defaultValue;
      if (!isExpected) throw new Error(`${spec.id}: invalid ${name} ${JSON.stringify(value)}`);
    }
  }
  for (const { steps } of occurrences.values()) {
    const counts = steps.map((tasks) => tasks.length);
    const claimed = spec.steps.map(({ taskCount }) => taskCount);
    if (`${counts}` !== `${claimed}`)
      throw new Error(`${spec.id}: the progress does not match the tasks of the job`);
  }
}

/** Replaces `count` characters of a text by characters with a meaning in progress records. */
function changeText(text: string, count: number, at: number): string {
  const chars = [...text];
  for (let i = 0; i < count; i += 1) {
    chars[(at + 7 * i) % chars.length] = TEXT_CHARS[(at + i) % TEXT_CHARS.length]!;
  }
  return chars.join('');
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
