import type { Manifest, TimelineEvent, WhyReason } from '@redwingcrank/protocol';
import type { Reason, TaskExplanation, TaskState, WaitReason } from '@redwingcrank/decisions';

/** The known data about the requested task. */
export interface WhyInput {
  readonly taskId: string;
  readonly dataCentre: string;
  readonly holds: boolean;
  readonly manifest: Manifest | undefined;
  readonly task: TaskState | undefined;
  /** The explanation of this node's scheduler; only the holder's describes its own decisions. */
  readonly explanation: TaskExplanation | undefined;
  readonly history: readonly TimelineEvent[];
}

const WAIT_DETAILS: Readonly<Record<WaitReason | 'next-pass', string>> = {
  'no-hosts': 'the data centre has no host, as far as is known',
  'no-such-rack': 'none of the racks that it may run on exists',
  'never-fits': 'no host that the task allows is large enough, however empty',
  'exceeds-quota': 'the quota of its team is smaller than the task',
  'name-reused': 'its identity was that of a replica of a service with this name',
  'attempts-exhausted': 'too many of its attempts failed',
  quota: 'its team has used up its quota',
  'no-room': 'every host that is large enough is full',
  'kept-apart': 'hosts have room, but a service there would suffer from it',
  'eviction-pending': 'room is being freed for it',
  'next-pass': 'the next pass decides',
};

/** Yields every reason for the task's state that the node knows. */
export function* whyReasons(input: WhyInput): Generator<WhyReason, void> {
  const [first] = manifestReasons(input);
  if (first) yield first;
  if (input.task) yield* attemptReasons(input.task);
  const isWaiting = !input.task || input.task.state === 'ended';
  if (isWaiting && first?.reason === 'wanted') yield* waitReasons(input);
}

function* manifestReasons({ taskId, dataCentre, manifest }: WhyInput): Generator<WhyReason> {
  const [dc = '', owner = '', index = ''] = taskId.split('/');
  if (!manifest) {
    yield { reason: 'no-manifest', detail: 'no manifest is in force on this node' };
    return;
  }
  if (dc !== dataCentre) {
    yield {
      reason: 'other-data-centre',
      detail: `ask a node of ${dc}; this one is in ${dataCentre}`,
    };
    return;
  }
  const service = manifest.services.find(({ name }) => name === owner);
  const job = manifest.jobs.find(({ name }) => name === owner);
  if (service) {
    const replicas = service.replicas[dc] ?? 0;
    const detail = `service ${owner}, tier ${service.tier}, wants ${replicas} replicas in ${dc}`;
    yield { reason: 'wanted', detail };
  } else if (job && job.dataCentre === dc && Number(index) < job.tasks) {
    yield { reason: 'wanted', detail: `job ${owner}, tier ${job.tier}, ${job.tasks} tasks` };
  } else {
    const detail = `version ${manifest.version} has no such task of ${owner} in ${dc}`;
    yield { reason: 'not-in-manifest', detail };
  }
}

function* attemptReasons(task: TaskState): Generator<WhyReason> {
  const where = `attempt ${task.attempt} on host ${task.hostId}`;
  switch (task.state) {
    case 'bound':
      yield { reason: 'bound', detail: `${where}: its worker has not yet said that it runs` };
      break;
    case 'running':
      yield { reason: 'running', detail: where };
      break;
    case 'revoked':
      yield {
        reason: 'revoked',
        detail: `${where}: ${task.revokeReason ?? ''}; it moves once its end is proved`,
      };
      break;
    default:
      yield { reason: `ended-${task.outcome ?? 'unknown'}`, detail: where };
  }
  if (task.checkpoint !== undefined && task.state !== 'ended') {
    yield { reason: 'checkpoint', detail: `the newest is ${task.checkpoint}` };
  }
  if (task.failures > 0) {
    yield { reason: 'failed-before', detail: `${task.failures} attempts failed` };
  }
}

function* waitReasons(input: WhyInput): Generator<WhyReason> {
  const { task, manifest, taskId, holds, explanation } = input;
  if (task?.outcome === 'completed') return;
  const owner = taskId.split('/')[1];
  const job = manifest?.jobs.find(({ name }) => name === owner);
  if (task && job && task.failures >= job.maxAttempts) {
    yield { reason: 'attempts-exhausted', detail: `all ${job.maxAttempts} attempts failed` };
  } else if (task?.kind === 'service') {
    yield { reason: 'replaced', detail: 'a lost replica is covered by one with a new identity' };
  } else if (!holds) {
    yield { reason: 'not-holder', detail: 'the holder of the data centre knows why a task waits' };
  } else {
    for (const reason of explanation?.reasons ?? []) yield* schedulerReason(reason);
  }
}

/** Yields a reason of the scheduler as text; skips those that the attempt itself shows. */
function* schedulerReason(reason: Reason): Generator<WhyReason> {
  switch (reason.code) {
    case 'waiting':
      yield { reason: reason.reason, detail: WAIT_DETAILS[reason.reason] };
      break;
    case 'hosts': {
      const { live, allowed, large, room, quarantined } = reason;
      const parts = `${allowed} are allowed, ${large} large enough, ${room} have room now`;
      const detail = `of ${live} live hosts ${parts}; ${quarantined} are quarantined`;
      yield { reason: 'hosts', detail };
      break;
    }
    case 'quota': {
      const { team, used, quota } = reason;
      const detail = `team ${team} uses ${JSON.stringify(used)} of ${JSON.stringify(quota)}`;
      yield { reason: 'quota-use', detail };
      break;
    }
    case 'order': {
      const { jobClass, share, waitedMs } = reason;
      const detail = `class ${jobClass}, its team's share ${share.toFixed(3)}, waited ${waitedMs} ms`;
      yield { reason: 'order', detail };
      break;
    }
    default:
  }
}
