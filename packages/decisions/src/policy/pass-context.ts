import type { BindAction, Resources } from '@redwingcrank/protocol';
import { NO_RESOURCES, addResources } from '@redwingcrank/protocol';
import type { ControlFold, HostState, TaskState } from '../control-fold.js';
import type { PlacementNeed } from '../placement.js';
import type { PlanInput } from '../plan.js';
import { Evictions } from './evictions.js';
import type { ManifestIndex } from './manifest-index.js';
import { indexOf } from './manifest-index.js';
import { PlacementView } from './placement-view.js';
import type { PlanStep, WaitReason } from './plan-step.js';
import { PAUSE, Pacer, actionStep } from './plan-step.js';
import { TeamUsage } from './team-usage.js';

/**
 * A pass that has decided this many actions binds no more tasks. A batch in the log holds at most
 * 20,000 actions: every reader would refuse a larger record, in pass after pass.
 */
export const MAX_ACTIONS = 5_000;

/**
 * A pass that has decided this many actions revokes no more tasks. A burst of cancellations fits,
 * and its record stays below the limit of a batch.
 */
export const MAX_REVOCATIONS = 12_000;

/** An attempt that is about to be bound. */
export type AttemptRef = Pick<BindAction, 'taskId' | 'attempt' | 'checkpoint'>;

/** The state of one pass: indexed input and the decisions made up to now. */
export class PassContext {
  readonly input: PlanInput;

  readonly manifest: ManifestIndex;

  /** The hosts, including the changes that this pass itself decides. */
  readonly hosts: ReadonlyMap<string, HostState>;

  readonly view = new PlacementView();

  readonly pacer = new Pacer();

  /** The resource usage of the teams; complete after `prepare`. */
  readonly usage: TeamUsage;

  readonly evictions: Evictions;

  readonly #revoked = new Set<string>();

  #actions = 0;

  constructor(input: PlanInput, hosts: ReadonlyMap<string, HostState>) {
    this.input = input;
    this.manifest = indexOf(input.manifest);
    this.hosts = hosts;
    this.usage = new TeamUsage(this.manifest.teams, capacityOf(hosts.values()));
    this.evictions = new Evictions(this);
  }

  /** Builds the placement view and the team usage for the rest of the pass. */
  *prepare(): Generator<PlanStep> {
    const { unreachable } = this.input;
    const health = this.input.memory?.health;
    health?.review(this.fold, this.input.nowMs ?? 0);
    for (const host of this.hosts.values()) {
      if (this.pacer.due()) yield PAUSE;
      if (host.state === 'live') {
        const isUnavailable = unreachable?.has(host.hostId) || health?.quarantined.has(host.hostId);
        if (isUnavailable) this.view.addClosed(host);
        else this.view.add(host);
      }
    }
    for (const { kind, owner, committed } of this.fold.index.liveOwners) {
      if (this.pacer.due()) yield PAUSE;
      const { services, jobs } = this.manifest;
      const team = (kind === 'service' ? services : jobs).get(owner)?.team;
      if (team !== undefined) this.usage.add(team, committed);
    }
  }

  get fold(): ControlFold {
    return this.input.fold;
  }

  /** The number of bindings and revocations decided up to now. */
  get actions(): number {
    return this.#actions;
  }

  /** Returns whether a task's latest attempt is neither revoked nor ended, as decided up to now. */
  staysActive({ taskId, state }: TaskState): boolean {
    return (state === 'bound' || state === 'running') && !this.#revoked.has(taskId);
  }

  /** Opens each quarantined host whose probe is due, for one task of a job. */
  openProbes(): void {
    const { memory, nowMs = 0 } = this.input;
    for (const hostId of memory?.health.quarantined.keys() ?? []) {
      const host = this.hosts.get(hostId);
      const isAvailable = host?.state === 'live' && !this.input.unreachable?.has(hostId);
      if (isAvailable && memory?.health.isProbeDue(hostId, nowMs)) this.view.open(host);
    }
  }

  /** Returns why a task cannot be placed regardless of free capacity; undefined if it can. */
  refusal(need: PlacementNeed, team: string): WaitReason | undefined {
    if (this.view.hosts.length === 0) return 'no-hosts';
    if (!this.view.canEverFit(need)) {
      const rackExists =
        need.racks.length === 0 || need.racks.some((rack) => this.view.racks.has(rack));
      return rackExists ? 'never-fits' : 'no-such-rack';
    }
    if (!this.usage.couldEverAllow(team, need.resources)) return 'exceeds-quota';
    return this.usage.allows(team, need.resources) ? undefined : 'quota';
  }

  bind(need: PlacementNeed, host: HostState, ref: AttemptRef, team: string): PlanStep {
    const { owner, kind, resources } = need;
    const specs = kind === 'service' ? this.manifest.services : this.manifest.jobs;
    const onOutage = specs.get(owner)?.onOutage;
    this.view.commit(host, resources);
    this.usage.add(team, resources);
    this.#startProbeIfDue(host, ref);
    this.#actions += 1;
    return actionStep({
      type: 'bind',
      ...ref,
      kind,
      owner,
      hostId: host.hostId,
      resources,
      onOutage,
    });
  }

  #startProbeIfDue(host: HostState, { taskId, attempt }: AttemptRef): void {
    const { memory, nowMs = 0 } = this.input;
    if (!memory?.health.isProbeDue(host.hostId, nowMs)) return;
    memory.health.startProbe(host.hostId, taskId, attempt, nowMs);
    this.view.close(host);
  }

  /** Revokes an active task. The fold would void a second revocation. */
  revoke({ taskId, attempt }: TaskState, reason: string): PlanStep {
    this.#revoked.add(taskId);
    this.#actions += 1;
    return actionStep({ type: 'revoke', taskId, attempt, reason });
  }
}

function capacityOf(hosts: Iterable<HostState>): Resources {
  let total = NO_RESOURCES;
  for (const host of hosts) {
    if (host.state === 'live') total = addResources(total, host.capacity);
  }
  return total;
}
