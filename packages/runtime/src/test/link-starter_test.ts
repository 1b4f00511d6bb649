import assert from 'node:assert/strict';
import { test } from 'node:test';
import { delay } from '../internal/delay.js';
import { LinkStarter } from '../internal/link-starter.js';
import type { WorkerLink } from '../internal/worker-link.js';

const LINKS = 160;

/** What a link's first call costs a slow node, in milliseconds. */
const CALL_MS = 3;

/** A fifth of the silence after which a scheduling node is replaced, in milliseconds. */
const MAX_HELD_UP_MS = 220;

function busy(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

test('a node that takes over hundreds of workers is never kept from its other work for long', async () => {
  // A node with a third of a core takes over and calls each worker for the first time. Meanwhile it
  // has to write its own record, or it is taken for dead, and the next one has the same before it.
  const stopping = new AbortController();
  let begun = 0;
  const link = {
    run: async () => {
      begun += 1;
      busy(CALL_MS);
    },
  } as unknown as WorkerLink;
  const starter = new LinkStarter(stopping.signal, (err) => assert.fail(String(err)));
  let lastMs = performance.now();
  let heldUpMs = 0;
  const ticks = setInterval(() => {
    heldUpMs = Math.max(heldUpMs, performance.now() - lastMs);
    lastMs = performance.now();
  }, 5);
  for (let i = 0; i < LINKS; i += 1) starter.start(link, true);
  while (begun < LINKS) await delay(10, stopping.signal);
  clearInterval(ticks);
  assert.ok(heldUpMs < MAX_HELD_UP_MS, `${heldUpMs} ms`);
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
  for (let i = 0; i < LINKS; i += 1) starter.start(link, true);
  stopping.abort();
  const before = begun;
  await delay(100, new AbortController().signal);
  assert.equal(begun, before);
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
    starter.start({ run } as unknown as WorkerLink, isBusy);
  }
  while (begun.length < LINKS) await delay(10, stopping.signal);
  assert.equal(begun.lastIndexOf(true), begun.filter((isBusy) => isBusy).length - 1);
});
