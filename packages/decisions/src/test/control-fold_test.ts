import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControlAction, ControlRecord } from '@redwingcrank/protocol';
import { controlSnapshotSchema } from '@redwingcrank/protocol';
import { ControlFold } from '../index.js';

const host: ControlAction = {
  type: 'host',
  hostId: 'w1',
  rack: 'r1',
  address: '127.0.0.1:1',
  capacity: { cpu: 4, memoryMb: 1000, accelerators: 0 },
  state: 'live',
};

function bind(taskId: string, attempt: number, cpu = 2): ControlAction {
  const resources = { cpu, memoryMb: 10, accelerators: 0 };
  return { type: 'bind', taskId, attempt, kind: 'job', owner: 'j', hostId: 'w1', resources };
}

class Scenario {
  readonly fold = new ControlFold();

  #offset = 0;

  claim(term: number, holder: string): this {
    return this.#apply({ type: 'claim', id: `c${this.#offset}`, term, holder });
  }

  batch(term: number, holder: string, ...actions: ControlAction[]): this {
    return this.#apply({ type: 'batch', id: `b${this.#offset}`, term, holder, actions });
  }

  #apply(record: ControlRecord): this {
    this.fold.apply(this.#offset, record);
    this.#offset += 1;
    return this;
  }
}

test('of two claims of the same term, the first in log order wins', () => {
  const { fold } = new Scenario().claim(1, 'a').claim(1, 'b');
  assert.equal(fold.holder, 'a');
});

test('the batch of a former holder that resumes after a pause is voided', () => {
  // Holder `a` decides and is paused, and `b` claims the next term. When `a` resumes, it appends
  // its decision. If that took effect, two schedulers could bind the task.
  const scenario = new Scenario().claim(1, 'a').batch(1, 'a', host).claim(2, 'b');
  scenario.batch(1, 'a', bind('dc1/j/0', 1));
  assert.equal(scenario.fold.tasks.size, 0);
});

test('a binding beyond the capacity of a host is voided', () => {
  const scenario = new Scenario().claim(1, 'a').batch(1, 'a', host);
  scenario.batch(1, 'a', bind('dc1/j/0', 1, 3), bind('dc1/j/1', 1, 3));
  assert.deepEqual([...scenario.fold.tasks.keys()], ['dc1/j/0']);
});

test('the next attempt of a task is bound only after the last one has ended', () => {
  const scenario = new Scenario().claim(1, 'a').batch(1, 'a', host, bind('dc1/j/0', 1));
  scenario.batch(1, 'a', { type: 'revoke', taskId: 'dc1/j/0', attempt: 1, reason: 'moved' });
  scenario.batch(1, 'a', bind('dc1/j/0', 2));
  assert.equal(scenario.fold.tasks.get('dc1/j/0')?.attempt, 1);
  scenario.batch(1, 'a', {
    type: 'ended',
    taskId: 'dc1/j/0',
    attempt: 1,
    outcome: 'stopped',
    proof: 'worker',
  });
  scenario.batch(1, 'a', bind('dc1/j/0', 2));
  assert.equal(scenario.fold.tasks.get('dc1/j/0')?.attempt, 2);
});

test('a repeated record and a foreign record change nothing', () => {
  const fold = new ControlFold();
  const claim = { type: 'claim', id: 'x', term: 1, holder: 'a' };
  assert.equal(fold.apply(0, claim).accepted, true);
  assert.equal(fold.apply(1, { ...claim, term: 2 }).accepted, false);
  assert.equal(fold.apply(2, { some: 'thing' }).accepted, false);
  assert.equal(fold.term, 1);
});

test('a fold restored from a snapshot has the same state and rejects the same records', () => {
  const scenario = new Scenario().claim(1, 'a').batch(1, 'a', host, bind('dc1/j/0', 1, 3));
  const restored = new ControlFold();
  const text = JSON.stringify(scenario.fold.toSnapshot());
  restored.restore(controlSnapshotSchema.parse(JSON.parse(text)));
  assert.deepEqual(JSON.parse(JSON.stringify(restored.toSnapshot())), JSON.parse(text));
  assert.deepEqual(restored.tasksOf('j'), scenario.fold.tasksOf('j'));
  const repeated = { type: 'claim', id: 'c0', term: 2, holder: 'b' };
  const actions = [bind('dc1/j/1', 1, 3)];
  const batch = { type: 'batch', id: 'x', term: 1, holder: 'a', actions };
  for (const fold of [scenario.fold, restored]) {
    assert.equal(fold.apply(2, repeated).accepted, false);
    assert.equal(fold.apply(3, batch).voided.length, 1);
  }
});

test('an abandoned append that reaches the log late changes nothing', () => {
  // The holder records a host, its append seems lost, and it decides again: the host has shrunk.
  // Then the first append reaches the log after all. If it took effect, the fold would show the old
  // capacity, and the host would be overcommitted.
  const scenario = new Scenario().claim(1, 'a').batch(1, 'a', host);
  const shrunkHost = { ...host, capacity: { cpu: 1, memoryMb: 1000, accelerators: 0 } };
  const base = scenario.fold.batchOffset;
  const decide = (id: string, action: ControlAction): void => {
    const record = { type: 'batch', id, term: 1, holder: 'a', base, actions: [action] };
    scenario.fold.apply(scenario.fold.offset + 1, record);
  };
  decide('second', shrunkHost);
  decide('first', host);
  assert.equal(scenario.fold.hosts.get('w1')?.capacity.cpu, 1);
});

test('an expired lease does not end an attempt that was not revoked', () => {
  const scenario = new Scenario().claim(1, 'a').batch(1, 'a', host, bind('dc1/j/0', 1));
  const ref = { taskId: 'dc1/j/0', attempt: 1 };
  const ended = { type: 'ended', ...ref, outcome: 'lapsed', proof: 'lease' } as const;
  scenario.batch(1, 'a', ended);
  assert.equal(scenario.fold.tasks.get('dc1/j/0')?.state, 'bound');
  scenario.batch(1, 'a', { type: 'revoke', ...ref, reason: 'moved' }, ended);
  assert.equal(scenario.fold.tasks.get('dc1/j/0')?.state, 'ended');
});

test('the next attempt resumes from the last checkpoint and no other', () => {
  const scenario = new Scenario().claim(1, 'a').batch(1, 'a', host, bind('dc1/j/0', 1));
  const ref = { taskId: 'dc1/j/0', attempt: 1 };
  scenario.batch(1, 'a', { type: 'running', ...ref, checkpoint: 'c1' });
  const lostMs = 700;
  scenario.batch(1, 'a', { type: 'ended', ...ref, outcome: 'stopped', proof: 'worker', lostMs });
  scenario.batch(1, 'a', { ...bind('dc1/j/0', 2), checkpoint: 'c0' } as ControlAction);
  assert.equal(scenario.fold.tasks.get('dc1/j/0')?.attempt, 1);
  scenario.batch(1, 'a', bind('dc1/j/0', 2));
  assert.equal(scenario.fold.tasks.get('dc1/j/0')?.checkpoint, 'c1');
  assert.deepEqual(scenario.fold.lostWork, { resumable: 1, afresh: 0, lostMs });
});
