import type { Resources } from '@redwingcrank/protocol';
import { NO_RESOURCES, addResources, fits, subtractResources } from '@redwingcrank/protocol';
import type { HostState } from '../control-fold.js';

/** Hosts with more free cores share the last bucket. */
const LAST_BUCKET = 255;

const ROUNDING_MARGIN = 1e-6;

/** The requirements by which tasks are grouped for placement. */
interface TaskShape {
  readonly resources: Resources;
  readonly racks: readonly string[];
}

/**
 * The free capacity of hosts during one pass, including the effect of the pass's own bindings.
 * Hosts are kept in buckets by whole free cores, so that a full data centre is detected without
 * checking each host.
 */
export class PlacementView {
  readonly #hosts: HostState[] = [];

  /** All live hosts, including those that are closed now. */
  readonly #live: HostState[] = [];

  readonly #racks = new Map<string, HostState[]>();

  readonly #rackCpu = new Map<string, number>();

  readonly #freeByHost = new Map<string, Resources>();

  readonly #buckets: Set<HostState>[] = Array.from({ length: LAST_BUCKET + 1 }, () => new Set());

  readonly #unplaceable: TaskShape[] = [];

  readonly #fitResults = new Map<string, boolean>();

  #totalFree: Resources = NO_RESOURCES;

  get hosts(): readonly HostState[] {
    return this.#hosts;
  }

  get racks(): ReadonlyMap<string, readonly HostState[]> {
    return this.#racks;
  }

  /** The total free capacity of all open hosts. */
  get totalFree(): Resources {
    return this.#totalFree;
  }

  /** Adds an open host, which must be live. */
  add(host: HostState): void {
    this.#live.push(host);
    this.open(host);
  }

  /** Opens a host that was added as closed, so that tasks can be placed on it. */
  open(host: HostState): void {
    const free = subtractResources(host.capacity, host.committed);
    this.#hosts.push(host);
    this.#freeByHost.set(host.hostId, free);
    this.#totalFree = addResources(this.#totalFree, free);
    this.#rackCpu.set(host.rack, this.rackCpu(host.rack) + free.cpu);
    this.#buckets[bucketOf(free.cpu)]?.add(host);
    const rack = this.#racks.get(host.rack);
    if (rack) rack.push(host);
    else this.#racks.set(host.rack, [host]);
  }

  /** Adds a live host that gets no tasks in this pass but may get some in later ones. */
  addClosed(host: HostState): void {
    this.#live.push(host);
  }

  /** Closes a host for the rest of this pass by committing its free capacity. */
  close(host: HostState): void {
    this.commit(host, this.freeOn(host));
  }

  /** Returns the free cores of a rack. */
  rackCpu(rack: string): number {
    return this.#rackCpu.get(rack) ?? 0;
  }

  /** Returns the free capacity of a host; negative if capacity not yet free was committed. */
  freeOn(host: HostState): Resources {
    return this.#freeByHost.get(host.hostId) ?? NO_RESOURCES;
  }

  /** Subtracts a binding of this pass, or capacity that is reserved for a later binding. */
  commit(host: HostState, resources: Resources): void {
    const free = this.freeOn(host);
    const remaining = subtractResources(free, resources);
    this.#freeByHost.set(host.hostId, remaining);
    this.#totalFree = subtractResources(this.#totalFree, resources);
    this.#rackCpu.set(host.rack, this.rackCpu(host.rack) - resources.cpu);
    if (bucketOf(free.cpu) === bucketOf(remaining.cpu)) return;
    this.#buckets[bucketOf(free.cpu)]?.delete(host);
    this.#buckets[bucketOf(remaining.cpu)]?.add(host);
  }

  /** Yields the hosts on which a task fits, in buckets of increasing free cores. */
  *candidates(need: TaskShape): Generator<HostState> {
    if (this.isKnownUnplaceable(need)) return;
    let found = false;
    for (let i = bucketOf(need.resources.cpu); i <= LAST_BUCKET; i += 1) {
      for (const host of this.#buckets[i] ?? []) {
        if (allowsRack(need, host) && fits(need.resources, this.freeOn(host))) {
          found = true;
          yield host;
        }
      }
    }
    if (!found) this.markUnplaceable(need);
  }

  /**
   * Returns whether no host was found for a task of this shape, or of one that requires less.
   * Capacity only shrinks during a pass, so the result for the first of thousands of similar
   * waiting tasks applies to all.
   */
  isKnownUnplaceable(need: TaskShape): boolean {
    return this.#unplaceable.some(
      (shape) => fits(shape.resources, need.resources) && coversRacks(shape.racks, need.racks),
    );
  }

  markUnplaceable({ resources, racks }: TaskShape): void {
    this.#unplaceable.push({ resources, racks });
  }

  /** Returns whether some host could hold the task if it were empty. */
  canEverFit(need: TaskShape): boolean {
    const { cpu, memoryMb, accelerators } = need.resources;
    const key = `${cpu} ${memoryMb} ${accelerators} ${need.racks.join(' ')}`;
    const known = this.#fitResults.get(key);
    if (known !== undefined) return known;
    const fitsSome = this.#live.some(
      (host) => allowsRack(need, host) && fits(need.resources, host.capacity),
    );
    this.#fitResults.set(key, fitsSome);
    return fitsSome;
  }
}

function bucketOf(cpu: number): number {
  return Math.min(LAST_BUCKET, Math.max(0, Math.floor(cpu + ROUNDING_MARGIN)));
}

/** Returns whether the task may run on the host's rack. */
export function allowsRack(need: Pick<TaskShape, 'racks'>, host: HostState): boolean {
  return need.racks.length === 0 || need.racks.includes(host.rack);
}

function coversRacks(outer: readonly string[], inner: readonly string[]): boolean {
  if (outer.length === 0) return true;
  return inner.length > 0 && inner.every((rack) => outer.includes(rack));
}
