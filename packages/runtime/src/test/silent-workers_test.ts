import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorkerState } from '@redwingcrank/jobs';
import type { KnownWorkers } from '../internal/silent-workers.js';
import { SilenceDetector } from '../internal/silent-workers.js';

type Answer = 'answered' | 'overdue' | 'not asked';

/** Workers with running tasks, and whether they have answered; all jobs are loaded. */
function knownWorkers(answers: readonly Answer[]): KnownWorkers {
  const workers = new Map<string, WorkerState>();
  const links = new Map<string, { isLost: boolean; isOverdue: () => boolean }>();
  for (const [i, answer] of answers.entries()) {
    const id = `w${i}`;
    const state = { entry: { id }, runs: { size: 1 }, leaseEndMs: 5_000, answeredMs: 0 };
    workers.set(id, { ...state, fenced: answer === 'answered' } as unknown as WorkerState);
    links.set(id, { isLost: false, isOverdue: () => answer === 'overdue' });
  }
  return { workers, links, isListLoaded: true, isFullyLoaded: true };
}

/** Returns the given number of workers of each kind. */
function answersOf(answered: number, overdue: number, notAsked: number): Answer[] {
  return [
    ...Array<Answer>(answered).fill('answered'),
    ...Array<Answer>(overdue).fill('overdue'),
    ...Array<Answer>(notAsked).fill('not asked'),
  ];
}

function namesOf({ silent }: ReturnType<SilenceDetector['find']>): string[] {
  return silent.map(({ entry }) => entry.id);
}

test('a leader whose own delays make many workers overdue lists none of them before all were asked', () => {
  // Guards against hundreds of healthy workers that get no lease because the leader is slow.
  const detector = new SilenceDetector(new Map());
  const { silent, isComplete } = detector.find(knownWorkers(answersOf(100, 50, 300)), 1_000);
  assert.deepEqual(silent, []);
  assert.equal(isComplete, false);
});

test('a worker that is overdue while others answer is listed before all were asked', () => {
  // Guards against terms that end before all workers were asked and state no bound for a lost worker.
  const detector = new SilenceDetector(new Map());
  assert.deepEqual(namesOf(detector.find(knownWorkers(answersOf(9, 1, 300)), 1_000)), ['w9']);
});

test('a listed worker stays listed while more workers become overdue', () => {
  // Guards against dropping the bound of a lost worker because the leader has become slow.
  const detector = new SilenceDetector(new Map());
  detector.find(knownWorkers(answersOf(9, 1, 300)), 1_000);
  assert.deepEqual(namesOf(detector.find(knownWorkers(answersOf(9, 50, 251)), 1_200)), ['w9']);
});

test('overdue workers are listed once all were asked, however many they are', () => {
  const detector = new SilenceDetector(new Map());
  const { silent, isComplete } = detector.find(knownWorkers(answersOf(1, 2, 0)), 1_000);
  assert.equal(silent.length, 2);
  assert.equal(isComplete, true);
});

test('a worker that earlier terms listed is listed with their bound until it is contacted', () => {
  // Guards against short terms that do not pass on the bounds of the terms before them.
  const detector = new SilenceDetector(new Map([['w1', 2_000]]));
  const known = { ...knownWorkers([]), isListLoaded: false, isFullyLoaded: false };
  assert.deepEqual(detector.find(known, 0).silent, [{ entry: { id: 'w1' }, leaseEndMs: 2_000 }]);
  detector.contacted('w1');
  assert.deepEqual(detector.find(known, 0).silent, []);
});

test('a worker that earlier terms listed is no longer listed when nothing can run there', () => {
  // Guards against records that list workers which have long gone, more with each loss.
  const detector = new SilenceDetector(new Map([['w1', 2_000]]));
  assert.deepEqual(namesOf(detector.find(knownWorkers(['answered']), 0)), []);
});

test('workers that a slow leader has listed are not listed by the next one before they are overdue', () => {
  // Guards against healthy workers that get no lease for many short terms because one leader was slow.
  const slow = answersOf(0, 0, 100);
  const inherited = new Map(slow.map((_, i) => [`w${i}`, 2_000]));
  const detector = new SilenceDetector(inherited);
  const { silent, isComplete } = detector.find(knownWorkers(answersOf(0, 0, 200)), 0);
  assert.deepEqual(silent, []);
  assert.equal(isComplete, false);
});

test('of many listed workers, those that do not answer are listed again once the others have', () => {
  // Guards against dropping the bounds of the lost workers among them.
  const detector = new SilenceDetector(
    new Map(answersOf(0, 0, 50).map((_, i) => [`w${i}`, 2_000])),
  );
  for (let i = 0; i < 49; i += 1) detector.contacted(`w${i}`);
  const known = knownWorkers([...answersOf(49, 0, 0), 'not asked', ...answersOf(0, 0, 100)]);
  assert.deepEqual(detector.find(known, 0).silent, [{ entry: { id: 'w49' }, leaseEndMs: 2_000 }]);
});
