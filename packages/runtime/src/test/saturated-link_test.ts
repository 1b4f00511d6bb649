import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '@redwingcrank/jobs';
import { OrderSender } from '../internal/order-sender.js';
import { VirtualTime } from './virtual-fleet.js';

/** Time that a start takes on the leader's link, in milliseconds: 4 KB over 2 Mbit/s. */
const START_MS = 16;

/** Time in which a worker answers a call that has arrived, in milliseconds. */
const ANSWER_MS = 4;

/** Time limit of a start, and of the renewal of a lease, in milliseconds. */
const START_TIMEOUT_MS = 500;

const RENEWAL_TIMEOUT_MS = 900;

/** Starts of one round: ten seconds of the link. */
const STARTS = 625;

/** A link that carries one call after the other. */
class SerialLink {
  readonly #time: VirtualTime;

  #busyUntilMs = 0;

  timedOut = 0;

  answered = 0;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /** How long a call that is sent now waits for the calls before it, in milliseconds. */
  get delayMs(): number {
    return Math.max(0, this.#busyUntilMs - this.#time.nowMs);
  }

  /** Sends a start, and returns whether it was answered in time. */
  async start(): Promise<boolean> {
    const tookMs = this.delayMs + START_MS + ANSWER_MS;
    this.#busyUntilMs = this.#time.nowMs + this.delayMs + START_MS;
    await this.#time.after(Math.min(tookMs, START_TIMEOUT_MS));
    const isAnswered = tookMs <= START_TIMEOUT_MS;
    if (isAnswered) this.answered += 1;
    else this.timedOut += 1;
    return isAnswered;
  }
}

function orders(): Order[] {
  return Array.from({ length: STARTS }, (_, index) => {
    const task = { jobId: '00000000000000aa', occurrence: 0, step: 0, index };
    return { kind: 'start', worker: 'w1', task, run: 1, priority: 0, payload: '', checkpoint: '' };
  });
}

// Guards against a leader whose starts fill its network link: they time out and are sent again, and
// behind them renewals time out as well, so that the leases of everything that runs expire.
test('starts of a leader on a narrow link leave room for renewals and are answered in time', async (t) => {
  const time = new VirtualTime(t);
  const link = new SerialLink(time);
  const sender = new OrderSender(new AbortController().signal, () => link.start());
  sender.send(orders());
  let longestDelayMs = 0;
  for (let i = 0; i < 2 * STARTS; i += 1) {
    await time.advance(START_MS);
    longestDelayMs = Math.max(longestDelayMs, link.delayMs);
  }
  assert.ok(longestDelayMs < RENEWAL_TIMEOUT_MS, `renewals wait ${longestDelayMs} ms`);
  assert.equal(link.timedOut, 0, 'starts without an answer in time');
  assert.equal(link.answered, STARTS);
});

// Guards against a limit of starts in flight that costs throughput where the link is not the bottleneck.
test('starts that are answered at once are not held up', async (t) => {
  const time = new VirtualTime(t);
  let sent = 0;
  const sender = new OrderSender(new AbortController().signal, async () => {
    sent += 1;
    await time.after(ANSWER_MS);
    return true;
  });
  sender.send(orders());
  await time.advance(1_000);
  assert.equal(sent, STARTS);
});

/** Time until a start to a worker that does not answer is given up, in milliseconds. */
const NO_ANSWER_MS = 1_500;

/** Upper bound of the time until the last start to a live worker is sent, in milliseconds. */
const HELD_UP_MS = 1_000;

// Guards against starts that wait behind those to workers that do not answer, as after a cut of a zone:
// these were in flight until they timed out, and no answers allowed more.
test('starts to workers that do not answer hold up the others for a moment only', async (t) => {
  const time = new VirtualTime(t);
  let liveSent = 0;
  const sender = new OrderSender(new AbortController().signal, async ({ task }) => {
    const isLive = task.index % 3 > 0;
    if (isLive) liveSent += 1;
    await time.after(isLive ? ANSWER_MS : NO_ANSWER_MS);
    return isLive;
  });
  const all = orders();
  sender.send(all);
  await time.advance(HELD_UP_MS);
  assert.equal(liveSent, all.filter(({ task }) => task.index % 3 > 0).length);
});
