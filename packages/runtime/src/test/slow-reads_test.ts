import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AppendResult, KeyedRecord, NewestPage, ReadResult } from '../keyed-log.js';
import { KeyedLog } from '../keyed-log.js';
import { Node } from '../node.js';
import { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { steadyMs } from '../internal/delay.js';
import { encodeLeader, leaderKey } from '../internal/work-records.js';
import { nodeSettings } from './fixtures.js';
import { leaderRecord } from './leader-record.js';
import { pause } from './wait.js';

/** Latency of a call to the store, and again of its answer, in milliseconds. */
const ONE_WAY_MS = 150;

/** How long the node is observed, in milliseconds. */
const OBSERVED_MS = 5_000;

/** A log of a store that is slow but healthy. */
class SlowLog extends KeyedLog {
  /** Whether new reads are left without an answer, so that the followers stop. */
  static isOver = false;

  readonly #records: KeyedRecord[];

  constructor(records: KeyedRecord[] = []) {
    super();
    this.#records = records;
  }

  override async append(): Promise<AppendResult> {
    await pause(2 * ONE_WAY_MS);
    return { outcome: 'refused', reason: 'busy' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const sentMs = steadyMs();
    while (SlowLog.isOver) await new Promise(() => {});
    await pause(ONE_WAY_MS);
    await pause(waitMs);
    await pause(ONE_WAY_MS);
    return { records: [], next: from, end: from, asOfMs: sentMs + waitMs };
  }

  override async newest(): Promise<NewestPage> {
    await pause(2 * ONE_WAY_MS);
    return { records: this.#records, hasMore: false, end: 0 };
  }
}

const LEADER = encodeLeader(leaderRecord({ epoch: 1, node: 'n2', nonce: '1' }));

test('a node stays ready while each call to the store takes 0.3 s', async () => {
  // Guards against a node that makes the usual pause after each answer of a slow store: its view is
  // over 1.5 s old before the next answer arrives, and the node reports every second or so that it is
  // not ready. Callers are then sent to other nodes, which have the same problem.
  const port: PlatformPort = {
    workLog: new SlowLog([{ key: leaderKey(), value: LEADER }]),
    jobLog: new SlowLog(),
    workerLog: new SlowLog(),
    operatorLog: new SlowLog([{ key: 'config', value: 'x' }]),
    workers: { disconnect() {} },
    workerIdOf: () => undefined,
    decodeWorker: () => assert.fail(),
    decodeConfig: () => ({
      value: { version: 1, queues: [], pools: new Set<string>(), maxBodyBytes: 1_000 },
    }),
    decodeEvacuation: () => undefined,
  } as unknown as PlatformPort;
  const node = new Node(port, nodeSettings('n1'), new NodeLog('n1', 'silent'));
  node.start();
  while (!node.isReady) await pause(5);
  let unreadyMs = 0;
  for (const endMs = steadyMs() + OBSERVED_MS; steadyMs() < endMs;) {
    const sinceMs = steadyMs();
    await pause(5);
    if (!node.isReady) unreadyMs += steadyMs() - sinceMs;
  }
  SlowLog.isOver = true;
  await node.retire();
  assert.equal(Math.round(unreadyMs), 0);
});
