import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Scheduler } from '@redwingcrank/jobs';
import type { NewestPage, ReadResult } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { steadyMs } from '../internal/delay.js';
import { FaultLog } from '../internal/fault-log.js';
import { StartViews } from '../internal/start-views.js';
import { WorkerList } from '../internal/worker-list.js';
import { UP_TO_DATE_JOBS, UP_TO_DATE_OPERATORS, nodeSettings } from './fixtures.js';
import { platformPort } from './port-fixtures.js';
import { StaticLog } from './static-log.js';
import { VirtualTime } from './virtual-fleet.js';

/** Time of each call to the store, in milliseconds. */
const CALL_MS = 600;

/** A log without new records, at a store that is slow for each call. */
class SlowLog extends StaticLog {
  readonly #time: VirtualTime;

  constructor(time: VirtualTime) {
    super();
    this.#time = time;
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const sentMs = steadyMs();
    await this.#time.after(waitMs + CALL_MS);
    return { records: [], next: from, end: from, asOfMs: sentMs + waitMs };
  }

  override async newest(): Promise<NewestPage> {
    await this.#time.after(CALL_MS);
    return super.newest();
  }
}

test('tasks may begin at any time although each call to the store takes long', async (t) => {
  // The store takes 0.6 s for a call. Guards against reads that wait a second at the store for new
  // records: during a part of each read the list of workers is then too old for starts, and jobs
  // stall for that time.
  const time = new VirtualTime(t);
  const log = new NodeLog('n1', 'silent');
  const port = platformPort({ workerLog: new SlowLog(time) });
  const timing = { leaseMs: 0, inheritedLeaseMs: 0, stallTimeoutMs: 0, stopRetryMs: 0 };
  const scheduler = new Scheduler(timing, 0, () => {});
  const config = new ConfigWatch(port, log);
  const list = new WorkerList(port, log, config, scheduler, () => {}, new FaultLog(log));
  const { signal } = new AbortController();
  const views = new StartViews(
    { workers: list, work: UP_TO_DATE_JOBS, operators: UP_TO_DATE_OPERATORS },
    nodeSettings('n1'),
    signal,
  );
  const running = list.run();
  assert.ok(await time.advanceUntil(() => views.windowMs(steadyMs()) > 0, 6_000));
  let withoutStartsMs = 0;
  for (const endMs = steadyMs() + 6_000; steadyMs() < endMs; await time.advance(10)) {
    if (views.windowMs(steadyMs()) === 0) withoutStartsMs += 10;
  }
  list.stop();
  await time.advance(2 * CALL_MS);
  await running;
  assert.equal(withoutStartsMs, 0);
});
