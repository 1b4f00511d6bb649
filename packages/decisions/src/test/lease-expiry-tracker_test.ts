import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControlAction, ControlRecord } from '@redwingcrank/protocol';
import { ControlFold, LeaseExpiryTracker } from '../index.js';

const TIMING = { leaseMs: 1000, staleMs: 5000 };
const STRETCH = 1.025;
const LEASE = TIMING.leaseMs * STRETCH;
const STALE = TIMING.staleMs * STRETCH;

/** When the watch began; long ago, so that history is no concern. */
const BEGAN = -100_000;
const NOW = 0;

/** A fold in which `me` holds the term and one attempt has been revoked. */
class Script {
  readonly fold = new ControlFold();

  readonly watch = new LeaseExpiryTracker(TIMING, BEGAN);

  #now = BEGAN;

  constructor(onOutage: 'keep' | 'checkpoint') {
    this.join('me').join('peer');
    this.apply({ type: 'claim', id: 'claim', term: 1, holder: 'me/1' });
    const resources = { cpu: 1, memoryMb: 1, accelerators: 0 };
    const at = { hostId: 'w', rack: 'r', address: 'a', capacity: resources } as const;
    const ref = { taskId: 'dc1/j/0', attempt: 1 };
    this.batch({ type: 'host', ...at, state: 'live' });
    this.batch({ type: 'bind', ...ref, kind: 'job', owner: 'j', hostId: 'w', resources, onOutage });
  }

  join(nodeId: string, incarnation = '1'): this {
    return this.apply({ type: 'join', id: `${nodeId}${incarnation}`, nodeId, incarnation });
  }

  revoke(): this {
    this.#now = NOW;
    return this.batch({ type: 'revoke', taskId: 'dc1/j/0', attempt: 1, reason: 'test' });
  }

  batch(...actions: ControlAction[]): this {
    const id = `b${this.fold.offset}`;
    return this.apply({ type: 'batch', id, term: 1, holder: 'me/1', actions });
  }

  apply(record: ControlRecord): this {
    const { left = [] } = this.fold.apply(this.fold.offset + 1, record);
    this.watch.onMembersLeft(left, this.#now);
    return this;
  }

  hears(nodeId: string, at: number, controlOffset = this.fold.offset): this {
    this.watch.onHello({ nodeId, incarnation: '1', controlOffset, at });
    return this;
  }

  isOver(now: number): boolean {
    return [...this.watch.expiredAttempts(this.fold, 'me/1', now)].length > 0;
  }
}

/** Says when the attempt counts as over: just before it must not, just after it must. */
function assertOverAt(script: Script, at: number): void {
  assert.equal(script.isOver(NOW), false);
  assert.equal(script.isOver(at - 1), false, `not over before ${at}`);
  assert.equal(script.isOver(at + 1), true, `over after ${at}`);
}

test('a lease is waited out from the promise of the last member', () => {
  assertOverAt(new Script('checkpoint').revoke().hears('peer', 300), 300 + LEASE);
});

test('a member that is not heard is waited out until it must have stopped by itself', () => {
  // The peer is cut off from everybody but the worker, and renews until its read is too old.
  assertOverAt(new Script('checkpoint').revoke(), STALE + LEASE);
});

test('a hello that is older than the revocation promises nothing', () => {
  const script = new Script('checkpoint').revoke();
  assertOverAt(script.hears('peer', 300, script.fold.offset - 1), STALE + LEASE);
});

test('a member that has just left is waited out as well', () => {
  // It may not have read that it left. Were it not counted, its last renewals would outlive the
  // wait, and the task would run twice.
  const leave: ControlAction = { type: 'leave', nodeId: 'peer', incarnation: '1' };
  assertOverAt(new Script('checkpoint').revoke().batch(leave), STALE + LEASE);
});

test('a restarted member owes no promise for what its last process renewed, but time', () => {
  assertOverAt(new Script('checkpoint').revoke().join('peer', '2').hears('peer', 9), 9 + LEASE);
  assertOverAt(new Script('checkpoint').revoke().join('peer', '2'), STALE + LEASE);
});

test('a process that took over a whole state does not know who left before', () => {
  const script = new Script('checkpoint').revoke().hears('peer', 300);
  script.watch.onRestored(200);
  assertOverAt(script, 200 + STALE + LEASE);
});

test('time proves nothing about a task that is renewed without the log', () => {
  const silent = new Script('keep').revoke();
  assert.equal(silent.isOver(NOW), false);
  assert.equal(silent.isOver(1e9), false);
  assertOverAt(new Script('keep').revoke().hears('peer', 300), 300 + LEASE);
  // A process that has left may be renewing still, whatever the one in its place has promised.
  const replaced = new Script('keep').revoke().join('peer', '2').hears('peer', 300);
  assert.equal(replaced.isOver(NOW), false);
  assert.equal(replaced.isOver(1e9), false);
});
