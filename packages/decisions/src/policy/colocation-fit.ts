import type { ControlFold, HostState } from '../control-fold.js';
import type { PlacementNeed } from '../placement.js';
import { BestFit } from '../placement.js';
import { workloadKindOf } from './interference.js';
import type { InterferenceModel } from './interference.js';
import type { PlacementView } from './placement-view.js';

/** A host is left alone when a service's tail there would come this close to its target. */
const TAIL_LIMIT = 0.9;

/** Best fit that keeps pairs apart which the model has learned to go badly together. */
export class ColocationFit extends BestFit {
  readonly #fold: ControlFold;

  readonly #model: InterferenceModel;

  /** What was placed since the fold last moved: it is not in the fold yet. */
  readonly #placed = new Map<string, { readonly owner: string; readonly cpu: number }[]>();

  #placedAt = -1;

  constructor(fold: ControlFold, model: InterferenceModel) {
    super();
    this.#fold = fold;
    this.#model = model;
  }

  override place(need: PlacementNeed, view: PlacementView): HostState | undefined {
    if (this.#placedAt !== this.#fold.offset) this.#placed.clear();
    this.#placedAt = this.#fold.offset;
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
    const beside = new Map<string, number>();
    const count = (owner: string, cpu: number): void => {
      const kind = workloadKindOf(owner);
      beside.set(kind, (beside.get(kind) ?? 0) + cpu / host.capacity.cpu);
    };
    for (const taskId of host.tasks) {
      const task = this.#fold.tasks.get(taskId);
      if (task?.kind === 'service') services.add(workloadKindOf(task.owner));
      else if (task) count(task.owner, task.resources.cpu);
    }
    for (const { owner, cpu } of this.#placed.get(host.hostId) ?? []) count(owner, cpu);
    if (need.kind === 'job') count(need.owner, need.resources.cpu);
    else return this.#model.predict(workloadKindOf(need.owner), beside) <= TAIL_LIMIT;
    for (const service of services) {
      const adds =
        this.#model.cost(service, workloadKindOf(need.owner)) * need.resources.cpu > 1e-3;
      if (adds && this.#model.predict(service, beside) > TAIL_LIMIT) return false;
    }
    return true;
  }
}
