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
import { encodeLeader, leaderKey, progressKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { UP_TO_DATE_JOBS, nodeSettings } from './fixtures.js';
import { leaderRecord } from './leader-record.js';
import { platformPort } from './port-fixtures.js';
import { StaticLog } from './static-log.js';
import { pause } from './wait.js';

/** Workers of which none can be reached. */
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

test('a node that reads its own claim together with a newer one schedules nothing', async () => {
  // A node freezes just after its claim is stored. When it continues, one answer contains its claim and
  // the claim of the node that replaced it. Guards against scheduling for a moment: the node would
  // renew leases beyond the time at which the other node, which counts from an earlier time, takes
  // them to have expired.
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
  const timeout = setTimeout(() => term.stop(), 1_000);
  await term.run();
  clearTimeout(timeout);
  assert.deepEqual(workLog.writes, []);
});

test('a claim counts as confirmed at the time when it was sent', () => {
  // The store may apply a claim seconds after it was sent. Guards against counting from when it was
  // read: the node would renew leases for longer than a later leader, which counts from the record,
  // waits for them.
  const sentMs = steadyMs() - 5_000;
  const writer = new LeaderWriter(new StaticLog(), LOG, { epoch: 1, sequence: 7, sentMs });
  assert.equal(writer.confirmedMs, sentMs);
});

/** A log that accepts appends, but the first one times out without an answer. */
class FirstAnswerLostLog extends StaticLog {
  #isFirst = true;

  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    if (!this.#isFirst) return super.append(records);
    this.#isFirst = false;
    await pause(300);
    return { outcome: 'unknown', reason: 'timeout' };
  }
}

test('an append whose answer was lost counts as confirmed at the time of its first attempt', async () => {
  // The store applies an append and other nodes read it, but only the repeated append is answered.
  // Guards against counting from the repeat: the leader would grant leases that last longer than the
  // others, which count from what they read, wait before they start its tasks elsewhere.
  const claim = { epoch: 1, sequence: 7, sentMs: steadyMs() };
  const writer = new LeaderWriter(new FirstAnswerLostLog(), LOG, claim);
  const sentMs = steadyMs();
  assert.ok(await writer.write([{ key: leaderKey(), value: 'x' }]));
  assert.ok(writer.confirmedMs - sentMs < 100, `${writer.confirmedMs - sentMs} ms`);
});

/** A log that accepts appends, never answers the first, and records their sequence numbers. */
class FirstNeverAnsweredLog extends StaticLog {
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

test('the next append does not wait for the answer to an append that was read back', async () => {
  // The store applies appends, but its answers are lost. Guards against a leader that writes nothing
  // while it waits for an answer: after some seconds it can renew no lease, and all running tasks end.
  const log = new FirstNeverAnsweredLog();
  const writer = new LeaderWriter(log, LOG, { epoch: 1, sequence: 7, sentMs: -Infinity });
  const records = [{ key: leaderKey(), value: 'x' }];
  const sentMs = steadyMs();
  const stored = writer.write(records);
  writer.readBack(sentMs);
  const timeout = setTimeout(() => writer.stop(), 1_000);
  const isStored = await Promise.race([stored, pause(500)]);
  assert.equal(isStored, true);
  assert.ok(writer.confirmedMs >= sentMs);
  assert.ok(await writer.write(records));
  clearTimeout(timeout);
  assert.deepEqual(log.sequences, [8, 9]);
});

test('reading back an earlier append late does not confirm the next append', async () => {
  // The record of an answered append is read back after the answer. Guards against that ending the
  // wait for the next append: its starts would be sent before they are stored.
  const log = new FirstNeverAnsweredLog();
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

test('reading back a record does not confirm a later append without a record of the leader', async () => {
  // With many silent workers not every append has the leader's own record. Guards against taking the
  // record of the append before it, which is read back late, for a confirmation: starts would be sent
  // before their bindings are stored.
  const log = new FirstNeverAnsweredLog();
  const writer = new LeaderWriter(log, LOG, { epoch: 1, sequence: 7, sentMs: -Infinity });
  const sentMs = steadyMs();
  const stored = writer.write([{ key: progressKey('job'), value: 'x' }]);
  writer.readBack(sentMs);
  const waiting = pause(100).then(() => 'waits');
  assert.equal(await Promise.race([stored, waiting]), 'waits');
  writer.stop();
});
