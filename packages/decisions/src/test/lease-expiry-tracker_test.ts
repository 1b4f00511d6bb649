import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControlAction, ControlRecord } from '@redwingcrank/protocol';
import { ControlFold, LeaseExpiryTracker } from '../index.js';

const TIMING = { leaseMs: 1000, staleMs: 5000 };
const DRIFT_FACTOR = 1.025;
const LEASE = TIMING.leaseMs * DRIFT_FACTOR;
const STALE = TIMING.staleMs * DRIFT_FACTOR;

/** When the tracker started; long ago, so that memberships before its start do not matter. */
const STARTED_AT = -100_000;
const NOW = 0;

/** A fold in which `me` holds the term and one attempt is bound, which can be revoked. */
class Scenario {
  readonly fold = new ControlFold();

  readonly tracker = new LeaseExpiryTracker(TIMING, STARTED_AT);

  #now = STARTED_AT;

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
    this.tracker.onMembersLeft(left, this.#now);
    return this;
  }

  receiveHello(nodeId: string, at: number, controlOffset = this.fold.offset): this {
    this.tracker.onHello({ nodeId, incarnation: '1', controlOffset, at });
    return this;
  }

  isExpired(now: number): boolean {
    return [...this.tracker.expiredAttempts(this.fold, 'me/1', now)].length > 0;
  }
}

/** Asserts that the lease has not expired just before the given time but has just after it. */
function assertExpiresAt(scenario: Scenario, at: number): void {
  assert.equal(scenario.isExpired(NOW), false);
  assert.equal(scenario.isExpired(at - 1), false, `expired before ${at}`);
  assert.equal(scenario.isExpired(at + 1), true, `not expired after ${at}`);
}

test('a lease expires one lease duration after the acknowledgement of the last member', () => {
  assertExpiresAt(new Scenario('checkpoint').revoke().receiveHello('peer', 300), 300 + LEASE);
});

test('a silent member may renew the lease until its log read is too old', () => {
  // The peer is cut off from all nodes but the worker, and renews until its read is too old.
  assertExpiresAt(new Scenario('checkpoint').revoke(), STALE + LEASE);
});

test('a hello from before the revocation is no acknowledgement', () => {
  const scenario = new Scenario('checkpoint').revoke();
  assertExpiresAt(scenario.receiveHello('peer', 300, scenario.fold.offset - 1), STALE + LEASE);
});

test('a member that has just left may still renew the lease', () => {
  // The member may not have read that it left. Without waiting for it, its last renewals would
  // outlast the wait, and the task would run twice.
  const leave: ControlAction = { type: 'leave', nodeId: 'peer', incarnation: '1' };
  assertExpiresAt(new Scenario('checkpoint').revoke().batch(leave), STALE + LEASE);
});

test('the previous process of a restarted member is waited out unless it has acknowledged', () => {
  assertExpiresAt(
    new Scenario('checkpoint').revoke().join('peer', '2').receiveHello('peer', 9),
    9 + LEASE,
  );
  assertExpiresAt(new Scenario('checkpoint').revoke().join('peer', '2'), STALE + LEASE);
});

test('after a snapshot was restored, members that left earlier are waited for', () => {
  const scenario = new Scenario('checkpoint').revoke().receiveHello('peer', 300);
  scenario.tracker.onRestored(200);
  assertExpiresAt(scenario, 200 + STALE + LEASE);
});

test('elapsed time proves nothing about a task that is renewed without the log', () => {
  const withoutHello = new Scenario('keep').revoke();
  assert.equal(withoutHello.isExpired(NOW), false);
  assert.equal(withoutHello.isExpired(1e9), false);
  assertExpiresAt(new Scenario('keep').revoke().receiveHello('peer', 300), 300 + LEASE);
  // A process that has left may still renew the lease, whatever its successor has acknowledged.
  const replaced = new Scenario('keep').revoke().join('peer', '2').receiveHello('peer', 300);
  assert.equal(replaced.isExpired(NOW), false);
  assert.equal(replaced.isExpired(1e9), false);
});
