import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorkerState } from '@redwingcrank/jobs';
import { PLAIN_STEP } from '@redwingcrank/jobs';
import { delay } from '../internal/delay.js';
import { LinkStarter } from '../internal/link-starter.js';
import type { WorkerLink } from '../internal/worker-link.js';

const LINKS = 160;

/** Processor time that the first call of a link costs a slow node, in milliseconds. */
const CALL_MS = 3;

/** A fifth of the silence after which a leader is replaced, in milliseconds. */
const MAX_BLOCKED_MS = 220;

/** A worker on which nothing runs. */
const IDLE_WORKER: Pick<WorkerState, 'runs'> = { runs: new Map() };

/** Returns a worker on which one task runs. */
function busyWorker(lasting: boolean): Pick<WorkerState, 'runs'> {
  const run = { spec: { ...PLAIN_STEP, lasting } };
  return { runs: new Map([['a', run]]) } as unknown as Pick<WorkerState, 'runs'>;
}

test('starting hundreds of links never blocks the other work of a new leader for long', async () => {
  // A new leader with a third of a core calls each worker for the first time. Guards against these
  // calls delaying its own record: it would count as dead and be replaced, and so would the next one.
  const stopping = new AbortController();
  let started = 0;
  let consecutive = 0;
  let maxConsecutive = 0;
  const link = {
    run: async () => {
      started += 1;
      consecutive += 1;
      maxConsecutive = Math.max(maxConsecutive, consecutive);
    },
  } as unknown as WorkerLink;
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  // The timer stands for the node's other work. Calls are counted, not timed: on a machine that is
  // short of processor time the test itself is delayed for longer than the calls take.
  const otherWork = setInterval(() => {
    consecutive = 0;
  }, 5);
  for (let i = 0; i < LINKS; i += 1) starter.start(link, IDLE_WORKER);
  while (started < LINKS) await delay(10, stopping.signal);
  clearInterval(otherWork);
  assert.ok(maxConsecutive * CALL_MS < MAX_BLOCKED_MS, `${maxConsecutive} calls without a break`);
});

test('no more links are started after the end of the term', async () => {
  // A leader that was replaced while it still calls workers for the first time has no orders for them.
  const stopping = new AbortController();
  let started = 0;
  const link = {
    run: async () => {
      started += 1;
    },
  } as unknown as WorkerLink;
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  for (let i = 0; i < LINKS; i += 1) starter.start(link, IDLE_WORKER);
  stopping.abort();
  const before = started;
  await delay(100, new AbortController().signal);
  assert.equal(started, before);
});

test('links to workers with long-running tasks start first, then links to other busy workers', async () => {
  // A small node needs many seconds for hundreds of workers. Guards against links in the order of the
  // list: the leases of long-running tasks on its last workers would expire before they are renewed.
  const stopping = new AbortController();
  const started: string[] = [];
  const linkTo = (name: string): WorkerLink =>
    ({ run: async () => started.push(name) }) as unknown as WorkerLink;
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  for (let i = 0; i < LINKS; i += 1) {
    starter.start(linkTo('idle'), IDLE_WORKER);
    starter.start(linkTo('busy'), busyWorker(false));
    starter.start(linkTo('lasting'), busyWorker(true));
  }
  while (started.length < 3 * LINKS) await delay(10, stopping.signal);
  assert.deepEqual(new Set(started.slice(0, LINKS)), new Set(['lasting']));
  assert.deepEqual(new Set(started.slice(LINKS, 2 * LINKS)), new Set(['busy']));
});

test('links to busy workers start before links to idle workers', async () => {
  // One worker in three is busy, and the busy ones are spread over the list. Guards against links in
  // the order of the list: the last busy worker would be reached after nearly all others, and on a
  // small node its leases would have expired by then.
  const stopping = new AbortController();
  const started: boolean[] = [];
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  for (let i = 0; i < LINKS; i += 1) {
    const isBusy = i % 3 === 0;
    const run = async (): Promise<void> => {
      started.push(isBusy);
    };
    starter.start({ run } as unknown as WorkerLink, isBusy ? busyWorker(false) : IDLE_WORKER);
  }
  while (started.length < LINKS) await delay(10, stopping.signal);
  assert.equal(started.lastIndexOf(true), started.filter((isBusy) => isBusy).length - 1);
});
