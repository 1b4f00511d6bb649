import type { Service } from '@redwingcrank/protocol';
import type { TaskState } from '../control-fold.js';
import type { PlacementNeed } from '../placement.js';
import { taskIdOf } from '../task-ids.js';
import type { PassContext } from './pass-context.js';
import { MAX_ACTIONS } from './pass-context.js';
import { ReplicaCounts } from './replica-counts.js';
import type { PlanStep, WaitReason } from './plan-step.js';
import { PAUSE } from './plan-step.js';

/** Brings each service to the number of replicas that the manifest specifies. */
export function* planServices(ctx: PassContext): Generator<PlanStep> {
  for (const service of ctx.input.manifest.services) {
    if (ctx.pacer.due(1 + (service.replicas[ctx.input.dataCentre] ?? 0))) yield PAUSE;
    yield* planService(ctx, service);
  }
}

function* planService(ctx: PassContext, service: Service): Generator<PlanStep> {
  const wanted = service.replicas[ctx.input.dataCentre] ?? 0;
  const owned = ctx.fold.index.of('service', service.name);
  const live = liveReplicas(ctx, service.name);
  if (live.length > wanted) {
    for (const task of mostColocated(ctx, live, live.length - wanted)) {
      yield ctx.revoke(task, `${wanted} replicas are wanted`);
    }
  } else if (live.length < wanted) {
    // A former job of the same name may have used the first indices.
    const first = Math.max(owned?.next ?? 0, ctx.fold.nextIndexOf(service.name));
    yield* addReplicas(ctx, service, first, { live, missing: wanted - live.length });
  }
}

function liveReplicas(ctx: PassContext, name: string): TaskState[] {
  const tasks: TaskState[] = [];
  for (const taskId of ctx.fold.index.of('service', name)?.live ?? []) {
    const task = ctx.fold.tasks.get(taskId);
    if (task && ctx.staysActive(task)) tasks.push(task);
  }
  return tasks;
}

function countsOf(ctx: PassContext, live: readonly TaskState[]): ReplicaCounts {
  const counts = new ReplicaCounts();
  for (const { hostId } of live) {
    const host = ctx.hosts.get(hostId);
    if (host) counts.add(host);
  }
  return counts;
}

/** Returns the replicas that share their rack with the most others, whose loss costs the least. */
function mostColocated(ctx: PassContext, live: readonly TaskState[], surplus: number): TaskState[] {
  const counts = countsOf(ctx, live);
  const colocation = ({ hostId }: TaskState): number =>
    counts.onRack(ctx.hosts.get(hostId)?.rack ?? '') * live.length + counts.onHost(hostId);
  const remaining = new Set(live);
  const chosen: TaskState[] = [];
  while (chosen.length < surplus) {
    const task = [...remaining].reduce((a, b) => (colocation(b) >= colocation(a) ? b : a));
    const host = ctx.hosts.get(task.hostId);
    remaining.delete(task);
    chosen.push(task);
    if (host) counts.add(host, -1);
  }
  return chosen;
}

function* addReplicas(
  ctx: PassContext,
  { name, resources, team, tier }: Service,
  first: number,
  { live, missing }: { readonly live: readonly TaskState[]; readonly missing: number },
): Generator<PlanStep> {
  const { dataCentre, policy } = ctx.input;
  const peers = countsOf(ctx, live);
  const need: PlacementNeed = { owner: name, kind: 'service', resources, racks: [], peers };
  const unplaced = (i: number, count: number, reason: WaitReason): PlanStep => {
    const taskId = taskIdOf(dataCentre, name, first + i);
    return { type: 'unplaced', unplaced: { taskId, owner: name, count, reason } };
  };
  for (let i = 0; i < missing && ctx.actions < MAX_ACTIONS; i += 1) {
    const refusal = ctx.refusal(need, team);
    if (refusal !== undefined) {
      yield unplaced(i, missing - i, refusal);
      return;
    }
    const host = policy.place(need, ctx.view);
    if (host) {
      peers.add(host);
      yield ctx.bind(
        need,
        host,
        { taskId: taskIdOf(dataCentre, name, first + i), attempt: 1 },
        team,
      );
    } else if (yield* ctx.evictions.freeCapacityFor(need, tier)) {
      ctx.usage.add(team, resources);
      yield unplaced(i, 1, 'eviction-pending');
    } else {
      yield unplaced(i, missing - i, 'no-room');
      return;
    }
  }
}
