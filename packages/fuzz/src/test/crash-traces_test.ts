import { test } from 'node:test';
import { Coverage } from '../coverage.js';
import { FinalLoss } from '../jobs/final-loss.js';
import { JobsScript } from '../jobs/jobs-script.js';
import { JobsWorld } from '../jobs/jobs-world.js';
import { RecoveryPhase } from '../jobs/recovery-phase.js';

/** Repeats a command of a trace. */
function times(count: number, line: string): string[] {
  return Array<string>(count).fill(line);
}

/**
 * Replays a case of the target `jobs`, one `KIND A B` a line, which ends with the loss of a
 * worker.
 */
function replay(lines: readonly string[], cutIndex = 0): void {
  const world = new JobsWorld(new Coverage());
  const script = new JobsScript(world);
  for (const line of lines) {
    const [kind, a, b] = line.split(' ');
    script.run(kind!, Number(a), Number(b));
  }
  const recovery = new RecoveryPhase(world);
  recovery.heal(cutIndex);
  new FinalLoss(world, recovery, 0).run('vanish');
}

test('a task is not given up after three crashes while its start was on its way', () => {
  // Guards against giving up a task that has never begun, as its starts reach no worker in time.
  replay([
    'submit-lasting 0 0',
    'renew 0 0',
    'round 0 0',
    'crash 0 0',
    'renew 0 0',
    'round 0 0',
    'crash 0 0',
    'renew 0 0',
    ...times(33, 'submit 0 0'),
    'round 0 0',
    'crash 0 0',
    ...times(5, 'submit 0 0'),
  ]);
});

test('a task is not given up after one crash and three while its start was on its way', () => {
  // Guards against a job that is shown as failed although one worker only has crashed under its
  // task; the other three starts were not delivered before their workers crashed.
  replay([
    'submit-crashing 0 0',
    'renew 0 0',
    'round 0 0',
    'crash 0 0',
    'renew 0 4',
    'round 0 0',
    'crash 0 4',
    ...times(3, 'submit 0 0'),
    'renew 0 0',
    ...times(10, 'submit 0 0'),
    'round 0 0',
    ...times(2, 'submit 0 0'),
    'crash 0 0',
    ...times(22, 'submit 0 0'),
  ]);
});

test('a task is not given up after one crash and one worker out of reach', () => {
  // Guards against a job that is shown as failed although one worker only has crashed under its
  // task: another had it, fell silent as its link was cut, and went on.
  replay([
    'submit-lasting 1 0',
    'renew 0 0',
    'round 0 0',
    'crash 0 0',
    'submit-crashing 0 0',
    'renew 0 0',
    'round 0 0',
    'deliver 0 2',
    'cut-off 0 0',
    ...times(40, 'submit 0 0'),
  ]);
});

test('a crashing task is limited where tasks with unanswered starts share its workers', () => {
  // Guards against a sixth start: tasks whose starts are on their way have the highest weight, so that
  // the crash is not counted for the task that certainly began.
  replay([
    'renew 0 4',
    'submit 0 0',
    'submit-crashing 0 0',
    'renew 0 0',
    'submit 0 0',
    'round 0 0',
    'submit-lasting 1 0',
    'deliver 0 0',
    'submit-lasting 0 0',
    'round 0 0',
    'crash 0 0',
    ...times(28, 'submit 0 0'),
    'time-passes 1 0',
    ...times(6, 'submit 0 0'),
    'resign 0 0',
    'leave 0 0',
    ...times(2, 'submit 0 0'),
    'leave 0 1',
  ]);
});

test('a crashing task is limited where a task with an earlier crash shares its workers', () => {
  // Guards against a sixth start, and giving up the wrong task: one whose worker crashed before the
  // crashing task was submitted has the highest weight on each worker that they share.
  replay([
    'submit-lasting 0 0',
    'renew 0 1',
    'round 0 0',
    'crash 0 1',
    'renew 0 0',
    'submit-crashing 0 0',
    'round 0 0',
    ...times(6, 'submit 0 0'),
    'submit-lasting 0 0',
    ...times(3, 'submit 0 0'),
    'deliver 0 0',
    'submit 0 0',
    'submit-lasting 0 0',
    ...times(2, 'deliver 0 0'),
    'elect 0 0',
    'renew 3 1',
    ...times(5, 'submit 0 0'),
    'round 3 0',
    ...times(10, 'submit 0 0'),
    'cut 0 0',
    ...times(6, 'submit 0 0'),
  ]);
});

test('a task is not given up because its starts are lost beside those of a crashing task', () => {
  // Guards against giving up the wrong task: its starts are on their way each time that the crashing
  // task ends the worker. One worker has crashed under it, the other crashes came before it began.
  replay(
    [
      'submit-crashing 0 0',
      'submit-lasting 7 0',
      'renew 0 0',
      ...times(2, 'submit 0 0'),
      'round 0 0',
      'deliver 0 5',
      ...times(2, 'submit 0 0'),
      'deliver 0 1',
      'submit 0 0',
      'submit-lasting 0 0',
      ...times(18, 'submit 0 0'),
      'deliver-unanswered 0 0',
      ...times(5, 'submit 0 0'),
      'cut 0 1',
      ...times(6, 'submit 0 0'),
    ],
    1,
  );
});
