import type { JobSpec } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP } from '@redwingcrank/jobs';
import { VALID_CONFIG, VALID_ENTRY } from '@redwingcrank/platform/fuzzing';
import {
  encodeJob,
  encodeLeader,
  encodeLearned,
  encodeOffer,
} from '@redwingcrank/runtime/work-table';

/** The kinds of data that a node reads: records of the store and answers of workers. */
export type RecordKind =
  | 'worker'
  | 'config'
  | 'wave'
  | 'job'
  | 'progress'
  | 'cancel'
  | 'leader'
  | 'learned'
  | 'offer'
  | 'report'
  | 'order-answer';

/** A valid record, as its owner writes it. */
export interface ValidRecord {
  readonly key: string;
  /** The record as JSON, to be changed; for progress, the form in which earlier versions wrote it. */
  readonly value: unknown;
  readonly text: string;
}

/** The number of workers and of jobs; few, so that records of the same key follow one another. */
const ID_COUNT = 3;

/** The number of tasks of each of a job's two steps. */
const TASK_COUNT = 2;

/** The fields of the leader's record, except its epoch. */
const LEADER = {
  node: 'n1',
  nonce: 'x',
  resigned: false,
  leasesMs: 7_600,
  formerMs: 0,
  silent: { w1: 900 },
  number: 0,
  cores: 1.35,
  largestCores: 1.35,
};

const LEARNED = { web: { batch: 0.4 }, feed: { batch: 1.2 } };

/** The progress that `progressOf` returns, as earlier versions wrote it. */
const JSON_PROGRESS = {
  s: 'running',
  b: 1,
  o: [
    [
      0,
      [
        [[1, 1, 'w0', 0, ''], 0],
        [0, 0],
      ],
    ],
  ],
};

/** Returns a valid record of the given kind. */
export function validRecord(kind: RecordKind, keyIndex: number): ValidRecord {
  const id = `${keyIndex % ID_COUNT}`;
  const of = (key: string, text: string): ValidRecord => ({ key, value: JSON.parse(text), text });
  switch (kind) {
    case 'worker':
      return of(`w${id}`, JSON.stringify(VALID_ENTRY));
    case 'config':
      return of('config', JSON.stringify(VALID_CONFIG));
    case 'wave':
      return of(`wave/${id}`, '{"wave":1,"machines":["m"],"max_count":1}');
    case 'job':
      return of(`j/${id}`, encodeJob(specOf(id)));
    case 'progress':
      return { key: `s/${id}`, value: JSON_PROGRESS, text: progressOf(id) };
    case 'cancel':
      return of(`c/${id}`, '1');
    case 'leader':
      return of('leader', encodeLeader({ ...LEADER, epoch: 1 + (keyIndex % ID_COUNT) }));
    case 'offer':
      return of(
        'offer',
        encodeOffer({ node: 'n2', cores: 1.35, epoch: 1 + (keyIndex % ID_COUNT) }),
      );
    default:
      return of('learned', encodeLearned(LEARNED));
  }
}

/** Whether the job has as many tasks in each step as a valid record of it. */
export function hasValidTaskCounts({ steps }: JobSpec): boolean {
  return `${steps.map(({ taskCount }) => taskCount)}` === `${[TASK_COUNT, TASK_COUNT]}`;
}

function specOf(id: string): JobSpec {
  const first = { ...PLAIN_STEP, taskCount: TASK_COUNT, cpuMilli: 500 };
  const steps = [first, { ...first, after: [0], image: 'batch', lasting: true }];
  return { id, queue: 'q', payload: 'p', steps, acceptedMs: 0 };
}

function progressOf(id: string): string {
  const job = new JobProgress(specOf(id));
  job.openDue(0);
  job.markRunning();
  const [tasks] = job.occurrences.get(0)!.steps;
  Object.assign(tasks![0]!, { phase: 'bound', run: 1, worker: 'w0' });
  return job.encode();
}
