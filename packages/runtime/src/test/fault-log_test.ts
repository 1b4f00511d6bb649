import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import type { LogFields } from '../node-log.js';
import { NodeLog } from '../node-log.js';
import { FaultLog } from '../internal/fault-log.js';

const FAULT = { reason: 'missing', field: 'state' } as const;

/** No second of writing has more lines than this. */
const MAX_LINES = 20;

let faults: FaultLog;

let lines: [event: string, fields: LogFields][];

beforeEach(() => {
  const log = new NodeLog('n1', 'silent');
  lines = [];
  log.observe((event, fields) => lines.push([event, fields]));
  faults = new FaultLog(log);
});

test('a key gets one line when it turns unusable, and one when it is sound again', () => {
  // Entries are written every second or two: a line for each would bury all others.
  for (let i = 0; i < 5; i += 1) faults.unusable('workers', 'w1', FAULT);
  faults.unusable('workers', 'w1', { reason: 'wrong-type', field: 'state' });
  faults.usable('workers', 'w1');
  faults.usable('workers', 'w1');
  faults.usable('workers', 'w2');
  const told = { log: 'workers', key: 'w1' };
  assert.deepEqual(lines, [
    ['record-unusable', { ...told, ...FAULT }],
    ['record-unusable', { ...told, reason: 'wrong-type', field: 'state' }],
    ['record-usable', told],
  ]);
});

test('the same key of another log is another one, and a deleted key is a new one', () => {
  faults.unusable('workers', 'config', FAULT);
  faults.unusable('operator', 'config', FAULT);
  faults.forget('workers', 'config');
  faults.unusable('workers', 'config', FAULT);
  assert.equal(lines.length, 3);
});

test('many broken keys at once cost few lines, and each record is counted', () => {
  for (let i = 0; i < 3_000; i += 1) faults.unusable('workers', `w${i}`, FAULT);
  assert.ok(lines.length <= MAX_LINES, `${lines.length} lines`);
  assert.deepEqual([...faults.counts], [{ source: 'workers', reason: 'missing', count: 3_000 }]);
});
