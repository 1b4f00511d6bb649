import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorkerState } from '@redwingcrank/jobs';
import { PLAIN_STEP } from '@redwingcrank/jobs';
import { delay } from '../internal/delay.js';
import { LinkStarter } from '../internal/link-starter.js';
import type { WorkerLink } from '../internal/worker-link.js';

const LINKS = 160;

/** What a link's first call costs a slow node, in milliseconds. */
const CALL_MS = 3;

/** A fifth of the silence after which a scheduling node is replaced, in milliseconds. */
const MAX_HELD_UP_MS = 220;

const IDLE: Pick<WorkerState, 'runs'> = { runs: new Map() };

/** A worker on which one task runs. */
function occupied(lasting: boolean): Pick<WorkerState, 'runs'> {
  const run = { spec: { ...PLAIN_STEP, lasting } };
  return { runs: new Map([['a', run]]) } as unknown as Pick<WorkerState, 'runs'>;
}

test('a node that takes over hundreds of workers is never kept from its other work for long', async () => {
  // A node with a third of a core takes over and calls each worker for the first time. Meanwhile it
  // has to write its own record, or it is taken for dead, and the next one has the same before it.
  const stopping = new AbortController();
  let begun = 0;
  let inPiece = 0;
  let longest = 0;
  const link = {
    run: async () => {
      begun += 1;
      inPiece += 1;
      longest = Math.max(longest, inPiece);
    },
  } as unknown as WorkerLink;
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  // What else the node has to do gets its turn here. Calls are counted, not timed: a machine that is
  // short of processor time holds the test itself up for longer than the calls take.
  const ticks = setInterval(() => {
    inPiece = 0;
  }, 5);
  for (let i = 0; i < LINKS; i += 1) starter.start(link, IDLE);
  while (begun < LINKS) await delay(10, stopping.signal);
  clearInterval(ticks);
  assert.ok(longest * CALL_MS < MAX_HELD_UP_MS, `${longest} calls in one piece`);
});

test('after the end of its term a node begins no more links', async () => {
  // A node that is replaced while it still calls workers for the first time has nothing to tell them.
  const stopping = new AbortController();
  let begun = 0;
  const link = {
    run: async () => {
      begun += 1;
    },
  } as unknown as WorkerLink;
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  for (let i = 0; i < LINKS; i += 1) starter.start(link, IDLE);
  stopping.abort();
  const before = begun;
  await delay(100, new AbortController().signal);
  assert.equal(begun, before);
});

test('a node that takes over reaches workers with lasting tasks first, then others that are busy', async () => {
  // A small node takes many seconds for hundreds of workers. In the order of the list the leases of
  // lasting tasks at its end are over before it has got there.
  const stopping = new AbortController();
  const begun: string[] = [];
  const linkTo = (name: string): WorkerLink =>
    ({ run: async () => begun.push(name) }) as unknown as WorkerLink;
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  for (let i = 0; i < LINKS; i += 1) {
    starter.start(linkTo('idle'), IDLE);
    starter.start(linkTo('busy'), occupied(false));
    starter.start(linkTo('lasting'), occupied(true));
  }
  while (begun.length < 3 * LINKS) await delay(10, stopping.signal);
  assert.deepEqual(new Set(begun.slice(0, LINKS)), new Set(['lasting']));
  assert.deepEqual(new Set(begun.slice(LINKS, 2 * LINKS)), new Set(['busy']));
});

test('workers on which something runs are greeted before all others', async () => {
  // A node takes over. One worker in three runs something, and those are spread over the list. In the
  // order of the list the last of them is reached when nearly all others have been, and on a small
  // node their leases are over by then.
  const stopping = new AbortController();
  const begun: boolean[] = [];
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  for (let i = 0; i < LINKS; i += 1) {
    const isBusy = i % 3 === 0;
    const run = async (): Promise<void> => {
      begun.push(isBusy);
    };
    starter.start({ run } as unknown as WorkerLink, isBusy ? occupied(false) : IDLE);
  }
  while (begun.length < LINKS) await delay(10, stopping.signal);
  assert.equal(begun.lastIndexOf(true), begun.filter((isBusy) => isBusy).length - 1);
});
