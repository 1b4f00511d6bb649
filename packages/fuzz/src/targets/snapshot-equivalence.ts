import fc from 'fast-check';
import { controlSnapshotSchema } from '@redwingcrank/protocol';
import { ControlFold, StreamReader, splitSnapshot } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { KeptLog } from './kept-log.js';

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
const KEPT = [2, 6, 12, 20];

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
 * Readers arrive after the log has lost records, snapshots are cut short, stale or garbage: a
 * reader that counts as whole has exactly the state of one that read every record.
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

  readonly #log = new KeptLog();

  /** Reads every record as soon as it is there. */
  readonly #full = newReader();

  readonly #late: Reader[] = [newReader()];

  /** The state after each record. */
  readonly #states = new Map<number, string>([[-1, plain(new ControlFold())]]);

  #records = 0;

  #stale: ReturnType<ControlFold['toSnapshot']> | undefined;

  constructor(coverage: Coverage) {
    this.#coverage = coverage;
  }

  run(commands: readonly Command[]): void {
    for (const { type, a, b } of commands) {
      this.#coverage.step();
      this.#do(type, a, b);
      this.#read(this.#full);
      // Reader number `b` looks at the log now; the others fall behind, perhaps past retention.
      const reader = this.#late[b % this.#late.length];
      if (reader) this.#read(reader);
      this.#late.forEach((late) => this.#check(late));
    }
  }

  #do(type: Command['type'], a: number, b: number): void {
    const { fold } = this.#full;
    if (type === 'expire') this.#log.expire(KEPT[a] ?? 1);
    else if (type === 'arrive') this.#late.push(newReader());
    else if (type === 'claim')
      this.#append({ type, term: fold.term + (a === 0 ? 0 : 1), holder: `h${b}` });
    else if (type === 'batch') this.#append(this.#batch(a, b));
    else this.#disturb(type);
  }

  #disturb(type: 'snapshot' | 'cutShort' | 'stale' | 'repeat' | 'foreign' | 'garbage'): void {
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

  /** A writer that was paused: its state was taken some records ago. */
  #writeStale(id: string): void {
    if (this.#stale) this.#write(id, this.#stale, false);
    this.#stale = this.#full.fold.toSnapshot();
  }

  /** Two parts, so that one of them can be missing; a batch of the holder comes in between. */
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
      const blind = !late.reader.complete;
      late.reader.take(entry);
      if (late === this.#full) this.#states.set(entry.offset, plain(late.fold));
      if (blind && late.reader.complete) this.#coverage.hit('recovered');
      Object.assign(late, { next: entry.offset + 1 });
    }
  }

  #check({ reader, fold }: Reader): void {
    if (!reader.complete) return;
    const got = plain(fold);
    const wanted = this.#states.get(fold.offset);
    if (got !== wanted) throw new Error(`a whole reader has ${got}, every record gives ${wanted}`);
  }
}

/** The state as text in which the order of keys does not count. */
function plain(fold: ControlFold): string {
  return JSON.stringify(
    controlSnapshotSchema.parse(JSON.parse(JSON.stringify(fold.toSnapshot()))),
    sorted,
  );
}

function sorted(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1)));
}
