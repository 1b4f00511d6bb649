import type {
  AttemptOutcome,
  BindAction,
  HostAction,
  Manifest,
  Resources,
} from '@redwingcrank/protocol';
import type { AttemptState } from './charts/task-attempt.chart.js';

type OnOutage = Manifest['jobs'][number]['onOutage'];

/** The host of a worker, according to the control stream. */
export interface HostState {
  readonly hostId: string;
  readonly rack: string;
  readonly address: string;
  readonly capacity: Resources;
  readonly state: HostAction['state'];
  /** The total resources of all attempts bound to this host that have not ended. */
  readonly committed: Resources;
  /** The ids of the tasks whose latest attempt is bound to this host and has not ended. */
  readonly tasks: ReadonlySet<string>;
  /** The incarnation of the worker process, or undefined before its first report is recorded. */
  readonly incarnation?: string | undefined;
  /** The offset of the record that named the incarnation. */
  readonly incarnationOffset: number;
}

/** The latest attempt of a task. */
export interface TaskState {
  readonly taskId: string;
  readonly attempt: number;
  readonly kind: BindAction['kind'];
  readonly owner: string;
  readonly hostId: string;
  readonly resources: Resources;
  readonly state: AttemptState;
  readonly onOutage: OnOutage;
  /** The only incarnation of the worker in which this attempt may be started. */
  readonly incarnation?: string | undefined;
  /** The offset of the record that bound this attempt. */
  readonly boundOffset: number;
  /** The offset of the last record that changed the task; once revoked, of the revoke record. */
  readonly offset: number;
  readonly endpoint?: string | undefined;
  /** The newest recorded checkpoint, from which the next attempt resumes. */
  readonly checkpoint?: string | undefined;
  readonly outcome?: AttemptOutcome | undefined;
  readonly revokeReason?: string | undefined;
  /** The number of attempts that ended with the outcome `failed`. */
  readonly failures: number;
}

/** The cost of evictions and lost workers: attempts of jobs that ended without completing. */
export interface LostWork {
  /** The number of attempts whose successor resumes from a checkpoint. */
  readonly resumable: number;
  /** The number of attempts whose successor starts from the beginning. */
  readonly afresh: number;
  /** Work lost since the last checkpoints, as far as workers reported it, in milliseconds. */
  readonly lostMs: number;
}

/** The result of folding one record. */
export interface ApplyResult {
  /** Whether the record was accepted: a claim, a join, or a batch based on the current state. */
  readonly accepted: boolean;
  /** Why the record or some of its actions were voided; empty if all took effect. */
  readonly voided: readonly string[];
  /** The keys of the memberships that this record ended. */
  readonly left?: readonly string[] | undefined;
}
