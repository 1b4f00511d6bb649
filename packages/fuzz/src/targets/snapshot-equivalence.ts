import fc from 'fast-check';
import { controlSnapshotSchema } from '@redwingcrank/protocol';
import { ControlFold, StreamReader, splitSnapshot } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { ExpiringLog } from './expiring-log.js';

const small = fc.nat({ max: 3 });

const command = fc.oneof(
  { weight: 8, arbitrary: fc.record({ type: fc.constant('batch' as const), a: small, b: small }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('claim' as const), a: small, b: small }) },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constantFrom('snapshot', 'cutShort', 'stale', 'repeat', 'foreign', 'garbage'),
      a: small,
      b: small,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ type: fc.constantFrom('expire', 'arrive'), a: small, b: small }),
  },
);

type Command = typeof command extends fc.Arbitrary<infer T> ? T : never;

const MAX_COMMANDS = 80;
const RETAINED_COUNTS = [2, 6, 12, 20];

interface Reader {
  readonly fold: ControlFold;
  readonly reader: StreamReader<ReturnType<ControlFold['toSnapshot']>, unknown>;
  next: number;
}

function newReader(): Reader {
  const fold = new ControlFold();
  return { fold, reader: new StreamReader(fold, controlSnapshotSchema), next: 0 };
}

/**
 * Fuzzes readers that start after log records have expired, and snapshots that are truncated, stale
 * or invalid: a reader that counts as complete must have exactly the state of a reader of every
 * record.
 */
export class SnapshotEquivalence extends FuzzTarget {
  readonly name = 'snapshot-equivalence';

  readonly coveragePoints = [
    'lost',
    'recovered',
    'cutShort',
    'stale',
    'repeat',
    'foreign',
    'garbage',
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const script = fc.array(command, { maxLength: MAX_COMMANDS, size: 'max' });
    return fc.property(script, (commands) => new Script(coverage).run(commands));
  }
}

class Script {
  readonly #coverage: Coverage;

  readonly #log = new ExpiringLog();

  /** Reads every record as soon as it is appended. */
  readonly #full = newReader();

  readonly #laggingReaders: Reader[] = [newReader()];

  /** The state after each record, by offset. */
  readonly #states = new Map<number, string>([[-1, canonicalJson(new ControlFold())]]);

  #records = 0;

  #staleState: ReturnType<ControlFold['toSnapshot']> | undefined;

  constructor(coverage: Coverage) {
    this.#coverage = coverage;
  }

  run(commands: readonly Command[]): void {
    for (const { type, a, b } of commands) {
      this.#coverage.step();
      this.#runCommand(type, a, b);
      this.#read(this.#full);
      // Only reader number `b` reads the log; the others fall behind, perhaps past the retention.
      const reader = this.#laggingReaders[b % this.#laggingReaders.length];
      if (reader) this.#read(reader);
      this.#laggingReaders.forEach((late) => this.#check(late));
    }
  }

  #runCommand(type: Command['type'], a: number, b: number): void {
    const { fold } = this.#full;
    if (type === 'expire') this.#log.expire(RETAINED_COUNTS[a] ?? 1);
    else if (type === 'arrive') this.#laggingReaders.push(newReader());
    else if (type === 'claim')
      this.#append({ type, term: fold.term + (a === 0 ? 0 : 1), holder: `h${b}` });
    else if (type === 'batch') this.#append(this.#batch(a, b));
    else this.#appendOther(type);
  }

  #appendOther(type: 'snapshot' | 'cutShort' | 'stale' | 'repeat' | 'foreign' | 'garbage'): void {
    this.#records += 1;
    const id = `s${this.#records}`;
    if (type !== 'snapshot') this.#coverage.hit(type);
    if (type === 'foreign') this.#log.append({ some: 'thing' });
    else if (type === 'repeat') this.#log.append([...this.#log.read(0)].at(-1)?.value ?? {});
    else if (type === 'garbage') {
      this.#log.append({
        type: 'snapshot-part',
        id,
        part: 0,
        parts: 1,
        upTo: this.#log.next - 1,
        data: '{',
      });
    } else if (type === 'stale') this.#writeStale(id);
    else this.#write(id, this.#full.fold.toSnapshot(), type === 'cutShort');
  }

  /** Writes the snapshot of a writer that was paused after taking it, some records ago. */
  #writeStale(id: string): void {
    if (this.#staleState) this.#write(id, this.#staleState, false);
    this.#staleState = this.#full.fold.toSnapshot();
  }

  /** Writes two parts, so that one can be missing, with a batch of the holder in between. */
  #write(id: string, state: ReturnType<ControlFold['toSnapshot']>, cutShort: boolean): void {
    for (const part of splitSnapshot(id, state)) {
      const middle = Math.floor(part.data.length / 2);
      const halves = [part.data.slice(0, middle), part.data.slice(middle)];
      this.#log.append({ ...part, part: 0, parts: 2, data: halves[0] });
      this.#append(this.#batch(1, 1));
      if (!cutShort) this.#log.append({ ...part, part: 1, parts: 2, data: halves[1] });
    }
  }

  #append(record: object): void {
    this.#records += 1;
    this.#log.append({ ...record, id: `r${this.#records}` });
  }

  #batch(a: number, b: number): object {
    const { term, holder = 'nobody' } = this.#full.fold;
    const taskId = `dc1/j/${b}`;
    const task = this.#full.fold.tasks.get(taskId);
    const resources = { cpu: 1, memoryMb: 1, accelerators: 0 };
    const capacity = { cpu: 2, memoryMb: 2, accelerators: 0 };
    const host = {
      type: 'host',
      hostId: `w${a}`,
      rack: 'r',
      address: 'x',
      capacity,
      state: 'live',
    };
    const attempt = task?.state === 'ended' ? task.attempt + 1 : (task?.attempt ?? 1);
    const ref = { taskId, attempt };
    const bind = { type: 'bind', ...ref, kind: 'job', owner: 'j', hostId: `w${a}`, resources };
    const ended = { type: 'ended', ...ref, outcome: a > 1 ? 'failed' : 'stopped', proof: 'worker' };
    const actions = [[host], [bind], [{ type: 'running', ...ref }], [ended]][(a + b) % 4] ?? [];
    return { type: 'batch', term, holder, actions };
  }

  #read(late: Reader): void {
    const { first } = this.#log;
    if (first > late.next && late.reader.lost(first)) this.#coverage.hit('lost');
    for (const entry of this.#log.read(late.next)) {
      const wasIncomplete = !late.reader.complete;
      late.reader.take(entry);
      if (late === this.#full) this.#states.set(entry.offset, canonicalJson(late.fold));
      if (wasIncomplete && late.reader.complete) this.#coverage.hit('recovered');
      Object.assign(late, { next: entry.offset + 1 });
    }
  }

  #check({ reader, fold }: Reader): void {
    if (!reader.complete) return;
    const actual = canonicalJson(fold);
    const expected = this.#states.get(fold.offset);
    if (actual !== expected)
      throw new Error(`a complete reader has the state ${actual}, all records give ${expected}`);
  }
}

/** Returns the state as JSON with sorted keys. */
function canonicalJson(fold: ControlFold): string {
  return JSON.stringify(
    controlSnapshotSchema.parse(JSON.parse(JSON.stringify(fold.toSnapshot()))),
    sortKeys,
  );
}

function sortKeys(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1)));
}
