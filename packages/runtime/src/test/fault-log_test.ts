import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import type { LogFields } from '../node-log.js';
import { NodeLog } from '../node-log.js';
import { FaultLog } from '../internal/fault-log.js';

const FAULT = { reason: 'missing', field: 'state' } as const;

/** Upper bound of the log lines that are written within one second. */
const MAX_LINES = 20;

let faults: FaultLog;

let lines: [event: string, fields: LogFields][];

beforeEach(() => {
  const log = new NodeLog('n1', 'silent');
  lines = [];
  log.observe((event, fields) => lines.push([event, fields]));
  faults = new FaultLog(log);
});

test('a key is logged once when its record becomes unusable and once when it is valid again', () => {
  // Workers write their entries every second or two. Guards against a line for each of these records,
  // which would hide all other lines.
  for (let i = 0; i < 5; i += 1) faults.unusable('workers', 'w1', FAULT);
  faults.unusable('workers', 'w1', { reason: 'wrong-type', field: 'state' });
  faults.usable('workers', 'w1');
  faults.usable('workers', 'w1');
  faults.usable('workers', 'w2');
  const fields = { log: 'workers', key: 'w1' };
  assert.deepEqual(lines, [
    ['record-unusable', { ...fields, ...FAULT }],
    ['record-unusable', { ...fields, reason: 'wrong-type', field: 'state' }],
    ['record-usable', fields],
  ]);
});

test('keys are tracked for each log separately, and a deleted key counts as new', () => {
  faults.unusable('workers', 'config', FAULT);
  faults.unusable('operator', 'config', FAULT);
  faults.forget('workers', 'config');
  faults.unusable('workers', 'config', FAULT);
  assert.equal(lines.length, 3);
});

test('the number of lines for many unusable records is limited, and every record is counted', () => {
  for (let i = 0; i < 3_000; i += 1) faults.unusable('workers', `w${i}`, FAULT);
  assert.ok(lines.length <= MAX_LINES, `${lines.length} lines`);
  assert.deepEqual([...faults.counts], [{ source: 'workers', reason: 'missing', count: 3_000 }]);
});
