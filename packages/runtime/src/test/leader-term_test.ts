import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AppendOptions, AppendResult, KeyedWrite } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import type { OrderResult, RenewResult } from '../task-workers.js';
import { TaskWorkers } from '../task-workers.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { LeaderTerm } from '../internal/leader-term.js';
import { LeaderWriter } from '../internal/leader-writer.js';
import { steadyMs } from '../internal/delay.js';
import { encodeLeader, leaderKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { UP_TO_DATE_JOBS, nodeSettings } from './fixtures.js';
import { leaderRecord } from './leader-record.js';
import { platformPort } from './port-fixtures.js';
import { StaticLog } from './static-log.js';
import { pause } from './wait.js';

class NoWorkers extends TaskWorkers {
  override async renew(): Promise<RenewResult> {
    return { outcome: 'unknown', reason: 'no workers here' };
  }

  override async order(): Promise<OrderResult> {
    return { outcome: 'unknown', reason: 'no workers here' };
  }

  override disconnect(): void {}
}

const SETTINGS = nodeSettings('n1');

const LOG = new NodeLog('n1', 'silent');

test('a node that reads its claim together with the one that replaced it schedules nothing', async () => {
  // The node was frozen just after its claim was stored. When it goes on, it reads its own claim
  // and that of the node which has replaced it in one answer. Scheduling for a moment would renew
  // leases that the other one, which counts them from an earlier time, takes to be over soon.
  const workLog = new StaticLog();
  const port = platformPort({
    workLog,
    workers: new NoWorkers(),
    workerIdOf: () => undefined,
    decodeWorker: () => {
      throw new Error('no workers here');
    },
  });
  const table = new WorkTable('n1');
  const own = leaderRecord({ epoch: 1, node: 'n1', nonce: '1' });
  for (const leader of [own, leaderRecord({ epoch: 2, node: 'n2', nonce: '2' })]) {
    table.apply({ key: leaderKey(), value: encodeLeader(leader) });
  }
  const claim = { epoch: 1, sequence: 7, sentMs: steadyMs() };
  const config = new ConfigWatch(port, LOG);
  const term = new LeaderTerm(own, claim, {
    port,
    settings: SETTINGS,
    log: LOG,
    table,
    work: UP_TO_DATE_JOBS,
    config,
  });
  const late = setTimeout(() => term.stop(), 1_000);
  await term.run();
  clearTimeout(late);
  assert.deepEqual(workLog.writes, []);
});

test('a claim counts as confirmed from when it was sent', () => {
  // The store carried the claim out seconds after it was sent. Counted from when it was read, the
  // node would renew leases for longer than a later one, which counts from the record, waits.
  const sentMs = steadyMs() - 5_000;
  const writer = new LeaderWriter(new StaticLog(), LOG, { epoch: 1, sequence: 7, sentMs });
  assert.equal(writer.confirmedMs, sentMs);
});

/** Carries appends out; the answer to the first one comes late and is given up. */
class FirstAnswerLost extends StaticLog {
  #isFirst = true;

  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    if (!this.#isFirst) return super.append(records);
    this.#isFirst = false;
    await pause(300);
    return { outcome: 'unknown', reason: 'timeout' };
  }
}

test('an append whose answer was lost counts as confirmed from when it was sent first', async () => {
  // The store carries an append out, the others read it, and its answer is lost; the repeat is
  // answered. Counted from the repeat, the node would give leases that last longer than the others,
  // who count from what they read, wait before they start its tasks elsewhere.
  const claim = { epoch: 1, sequence: 7, sentMs: steadyMs() };
  const writer = new LeaderWriter(new FirstAnswerLost(), LOG, claim);
  const sentMs = steadyMs();
  assert.ok(await writer.write([{ key: leaderKey(), value: 'x' }]));
  assert.ok(writer.confirmedMs - sentMs < 100, `${writer.confirmedMs - sentMs} ms`);
});

/** Carries appends out, and answers the first one never; the next numbers go on from a claim's. */
class NeverAnswered extends StaticLog {
  readonly sequences: number[] = [];

  override async append(
    records: readonly KeyedWrite[],
    { stamp }: AppendOptions = {},
  ): Promise<AppendResult> {
    this.sequences.push(stamp!.sequence);
    await super.append(records);
    return this.sequences.length > 1 ? { outcome: 'appended', reason: '' } : new Promise(() => {});
  }
}

test('the next append does not wait for the answer to one that was read back', async () => {
  // The store carries appends out and its answers are lost. Behind one that waits for its answer
  // nothing is written: no lease is renewed after some seconds, and all that runs ends.
  const log = new NeverAnswered();
  const writer = new LeaderWriter(log, LOG, { epoch: 1, sequence: 7, sentMs: -Infinity });
  const records = [{ key: leaderKey(), value: 'x' }];
  const sentMs = steadyMs();
  const stored = writer.write(records);
  writer.readBack(sentMs);
  const late = setTimeout(() => writer.stop(), 1_000);
  const isStored = await Promise.race([stored, pause(500)]);
  assert.equal(isStored, true);
  assert.ok(writer.confirmedMs >= sentMs);
  assert.ok(await writer.write(records));
  clearTimeout(late);
  assert.deepEqual(log.sequences, [8, 9]);
});

test('an append is not taken for stored because the one before it is read back late', async () => {
  // The record of an append that was answered is read only after the answer. Were that to end the
  // wait for the next one, its starts would be sent before anything of them is stored.
  const log = new NeverAnswered();
  log.sequences.push(7);
  const writer = new LeaderWriter(log, LOG, { epoch: 1, sequence: 7, sentMs: -Infinity });
  const records = [{ key: leaderKey(), value: 'x' }];
  assert.ok(await writer.write(records));
  writer.readBack(steadyMs());
  log.sequences.length = 0;
  const waiting = pause(100).then(() => 'waits');
  assert.equal(await Promise.race([writer.write(records), waiting]), 'waits');
  writer.stop();
});
