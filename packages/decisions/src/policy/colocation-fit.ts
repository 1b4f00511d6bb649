import type { ControlFold, HostState } from '../control-fold.js';
import type { PlacementNeed } from '../placement.js';
import { BestFit } from '../placement.js';
import { workloadKindOf } from './interference.js';
import type { InterferenceModel } from './interference.js';
import type { PlacementView } from './placement-view.js';

/** A host is not used if a service's tail latency there would exceed this share of its target. */
const MAX_LATENCY_RATIO = 0.9;

/** Best fit that keeps services apart from batch work that degrades them according to the model. */
export class ColocationFit extends BestFit {
  readonly #fold: ControlFold;

  readonly #model: InterferenceModel;

  /** Tasks placed since the offset of the fold last changed, by host; the fold lacks them. */
  readonly #placed = new Map<string, { readonly owner: string; readonly cpu: number }[]>();

  #placedAtOffset = -1;

  constructor(fold: ControlFold, model: InterferenceModel) {
    super();
    this.#fold = fold;
    this.#model = model;
  }

  override place(need: PlacementNeed, view: PlacementView): HostState | undefined {
    if (this.#placedAtOffset !== this.#fold.offset) this.#placed.clear();
    this.#placedAtOffset = this.#fold.offset;
    const host = super.place(need, view);
    if (host && need.kind === 'job') {
      const placed = this.#placed.get(host.hostId) ?? [];
      placed.push({ owner: need.owner, cpu: need.resources.cpu });
      this.#placed.set(host.hostId, placed);
    }
    return host;
  }

  protected override accepts(need: PlacementNeed, host: HostState): boolean {
    const services = new Set<string>();
    const cpuShares = new Map<string, number>();
    const count = (owner: string, cpu: number): void => {
      const kind = workloadKindOf(owner);
      cpuShares.set(kind, (cpuShares.get(kind) ?? 0) + cpu / host.capacity.cpu);
    };
    for (const taskId of host.tasks) {
      const task = this.#fold.tasks.get(taskId);
      if (task?.kind === 'service') services.add(workloadKindOf(task.owner));
      else if (task) count(task.owner, task.resources.cpu);
    }
    for (const { owner, cpu } of this.#placed.get(host.hostId) ?? []) count(owner, cpu);
    if (need.kind === 'job') count(need.owner, need.resources.cpu);
    else return this.#model.predict(workloadKindOf(need.owner), cpuShares) <= MAX_LATENCY_RATIO;
    for (const service of services) {
      const addsLatency =
        this.#model.cost(service, workloadKindOf(need.owner)) * need.resources.cpu > 1e-3;
      if (addsLatency && this.#model.predict(service, cpuShares) > MAX_LATENCY_RATIO) return false;
    }
    return true;
  }
}
