import fc from 'fast-check';
import { ControlFold } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import type { Mutation } from './mutated-json.js';
import { mutate, mutation } from './mutated-json.js';

const MAX_RECORDS = 8;

const CAPACITY = { cpu: 4, memoryMb: 400, accelerators: 0 };
const HOST = { hostId: 'w1', rack: 'r1', address: '127.0.0.1:1', capacity: CAPACITY };
const BIND = {
  type: 'bind',
  taskId: 'dc1/routes/0',
  attempt: 1,
  kind: 'job',
  owner: 'routes',
  hostId: 'w1',
  resources: { cpu: 3, memoryMb: 300, accelerators: 0 },
};

const VALID_RECORDS = [
  { type: 'claim', id: 'c1', term: 1, holder: 'n1/x' },
  {
    type: 'batch',
    id: 'b1',
    term: 1,
    holder: 'n1/x',
    actions: [{ type: 'host', ...HOST, state: 'live' }, BIND],
  },
];

interface ForeignRecord {
  readonly kind: 'foreign' | 'damaged' | 'next-version';
  readonly mutations: readonly Mutation[];
  readonly value: unknown;
  readonly copyOf: number;
}

const foreignRecord: fc.Arbitrary<ForeignRecord> = fc.record({
  kind: fc.constantFrom('foreign', 'damaged', 'next-version'),
  mutations: fc.array(mutation, { minLength: 1, maxLength: 3 }),
  value: fc.jsonValue(),
  copyOf: fc.nat({ max: 1 }),
});

/** Mixes foreign records, damaged records and records of a later version into a control stream. */
export class ForeignRecords extends FuzzTarget {
  readonly name = 'foreign-records';

  readonly coveragePoints = ['foreign', 'damaged', 'next-version'];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const foreignRecords = fc.array(foreignRecord, { maxLength: MAX_RECORDS });
    return fc.property(foreignRecords, foreignRecords, (before, after) =>
      checkStream(before, after, coverage),
    );
  }
}

function recordOf({ kind, mutations, value, copyOf }: ForeignRecord, i: number): unknown {
  const valid = { ...VALID_RECORDS[copyOf], id: `s${i}` };
  if (kind === 'foreign') return value;
  if (kind === 'damaged') return mutations.reduce<unknown>(mutate, valid);
  // A later release may write a new kind of record, or a field unknown to this release.
  return copyOf === 0 ? { ...valid, type: 'reservation' } : { ...valid, zone: 'z1' };
}

function checkStream(
  before: readonly ForeignRecord[],
  after: readonly ForeignRecord[],
  coverage: Coverage,
): void {
  const fold = new ControlFold();
  const records = [
    ...before.map(recordOf),
    ...VALID_RECORDS,
    ...after.map((s, i) => recordOf(s, 100 + i)),
  ];
  [...before, ...after].forEach(({ kind }) => coverage.hit(kind));
  let term = 0;
  records.forEach((record, offset) => {
    coverage.step();
    const result = fold.apply(offset, record);
    if (fold.term < term) throw new Error('the term decreased');
    if (!result.accepted && fold.term !== term)
      throw new Error('a rejected record changed the term');
    term = fold.term;
    checkHosts(fold);
  });
}

function checkHosts(fold: ControlFold): void {
  for (const host of fold.hosts.values()) {
    const bound = [...fold.tasks.values()].filter(
      (task) => task.hostId === host.hostId && task.state !== 'ended',
    );
    const cpu = bound.reduce((sum, task) => sum + task.resources.cpu, 0);
    // A host whose capacity a damaged record changed may be over-committed, but accepts nothing more.
    if (Math.abs(cpu - host.committed.cpu) > 1e-6)
      throw new Error(`${host.hostId}: committed processors differ from the sum of its tasks`);
  }
}
