import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Subject } from 'rxjs';
import { WorkTable } from '../internal/work-table.js';
import { steadyMs } from '../internal/delay.js';
import { JobService } from '../job-service.js';
import type { WorkView } from '../job-service.js';
import type { AppendResult, KeyedWrite } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import { QuietLog } from './quiet-log.js';
import { LASTING_JOB } from './job-fixtures.js';

/** Jobs are stored one append at a time, each when the test says so. */
class HeldLog extends QuietLog {
  readonly appends: (readonly KeyedWrite[])[] = [];

  #settle: ((result: AppendResult) => void)[] = [];

  override append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    this.appends.push(records);
    return new Promise((resolve) => {
      this.#settle.push(resolve);
    });
  }

  answer(outcome: AppendResult['outcome']): void {
    this.#settle.shift()!({ outcome, reason: '' });
  }
}

/** A view of a store that can be lost. */
class LosableView implements WorkView {
  readonly table = new WorkTable('n1');

  readonly lost$ = new Subject<void>();

  isLost = false;

  get freshMs(): number {
    return steadyMs();
  }

  lose(): void {
    this.isLost = true;
    this.lost$.next();
  }
}

/** A service whose store the test plays. */
class HeldService {
  readonly log = new HeldLog();

  readonly view = new LosableView();

  readonly #service = new JobService(this.view, this.log, new NodeLog('n1', 'silent'));

  submit(id: string, waitMs = 3_000): Promise<string> {
    return this.#service.submit({ ...LASTING_JOB, id }, steadyMs() + waitMs);
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

test('a job that waits for its turn when the store is lost is refused, and never sent', async () => {
  // Guards against "unknown" for a job that certainly has not run, and against storing it later.
  const held = new HeldService();
  const sent = held.submit('00000000000000a1');
  const waiting = held.submit('00000000000000a2');
  held.view.lose();
  assert.deepEqual(await Promise.all([sent, waiting]), ['unknown', 'not-run']);
  held.log.answer('unknown');
  await nextTurn();
  assert.equal(held.log.appends.length, 1);
});

test('a job that waits for its turn until its time is over is refused, and never sent', async () => {
  // Guards against the same behind an append that a slow store holds up.
  const held = new HeldService();
  const sent = held.submit('00000000000000a1');
  const waiting = held.submit('00000000000000a2', 50);
  assert.equal(await waiting, 'not-run');
  held.log.answer('appended');
  assert.equal(await sent, 'accepted');
  assert.equal(held.log.appends.length, 1);
});

test('a job that was sent once without an answer is never said not to have run', async () => {
  // Guards against a refusal of the second attempt that hides that the first may be stored.
  const held = new HeldService();
  const submitted = held.submit('00000000000000a1');
  held.log.answer('unknown');
  while (held.log.appends.length < 2) await nextTurn();
  held.log.answer('refused');
  assert.equal(await submitted, 'unknown');
});
