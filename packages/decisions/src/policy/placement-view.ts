import type { Resources } from '@redwingcrank/protocol';
import { NO_RESOURCES, addResources, fits, subtractResources } from '@redwingcrank/protocol';
import type { HostState } from '../control-fold.js';

/** Hosts with more free cores share the last bucket. */
const LAST_BUCKET = 255;

const MARGIN = 1e-6;

/** What a shape of task that found no place asked for. */
interface Shape {
  readonly resources: Resources;
  readonly racks: readonly string[];
}

/**
 * The hosts during one pass: what the pass itself binds counts at once. Hosts are kept in buckets
 * by whole free cores, so that a full data centre is seen to be full without asking each host.
 */
export class PlacementView {
  readonly #hosts: HostState[] = [];

  /** All live hosts, also those that may not be used now. */
  readonly #live: HostState[] = [];

  readonly #racks = new Map<string, HostState[]>();

  readonly #rackCpu = new Map<string, number>();

  readonly #room = new Map<string, Resources>();

  readonly #buckets: Set<HostState>[] = Array.from({ length: LAST_BUCKET + 1 }, () => new Set());

  readonly #full: Shape[] = [];

  readonly #possible = new Map<string, boolean>();

  #free: Resources = NO_RESOURCES;

  get hosts(): readonly HostState[] {
    return this.#hosts;
  }

  get racks(): ReadonlyMap<string, readonly HostState[]> {
    return this.#racks;
  }

  /** What is free on all hosts together. */
  get totalFree(): Resources {
    return this.#free;
  }

  /** Adds a host; only live ones may be added. */
  add(host: HostState): void {
    this.#live.push(host);
    this.open(host);
  }

  /** Opens a host that was added as closed. */
  open(host: HostState): void {
    const room = subtractResources(host.capacity, host.committed);
    this.#hosts.push(host);
    this.#room.set(host.hostId, room);
    this.#free = addResources(this.#free, room);
    this.#rackCpu.set(host.rack, this.rackCpu(host.rack) + room.cpu);
    this.#buckets[bucketOf(room.cpu)]?.add(host);
    const rack = this.#racks.get(host.rack);
    if (rack) rack.push(host);
    else this.#racks.set(host.rack, [host]);
  }

  /** Adds a live host that gets no work in this pass, but will again. */
  addClosed(host: HostState): void {
    this.#live.push(host);
  }

  /** Lets nothing more onto a host in this pass. */
  close(host: HostState): void {
    this.commit(host, this.room(host));
  }

  /** The free cores of a rack. */
  rackCpu(rack: string): number {
    return this.#rackCpu.get(rack) ?? 0;
  }

  /** What is still free on a host; below zero where more was promised than is there yet. */
  room(host: HostState): Resources {
    return this.#room.get(host.hostId) ?? NO_RESOURCES;
  }

  /** Counts a binding that this pass decided, or room that is being kept for one. */
  commit(host: HostState, resources: Resources): void {
    const room = this.room(host);
    const left = subtractResources(room, resources);
    this.#room.set(host.hostId, left);
    this.#free = subtractResources(this.#free, resources);
    this.#rackCpu.set(host.rack, this.rackCpu(host.rack) - resources.cpu);
    if (bucketOf(room.cpu) === bucketOf(left.cpu)) return;
    this.#buckets[bucketOf(room.cpu)]?.delete(host);
    this.#buckets[bucketOf(left.cpu)]?.add(host);
  }

  /** The hosts that a task fits on, those with the fewest free cores first. */
  *candidates(need: Shape): Generator<HostState> {
    if (this.isKnownUnplaceable(need)) return;
    let found = false;
    for (let i = bucketOf(need.resources.cpu); i <= LAST_BUCKET; i += 1) {
      for (const host of this.#buckets[i] ?? []) {
        if (allowsRack(need, host) && fits(need.resources, this.room(host))) {
          found = true;
          yield host;
        }
      }
    }
    if (!found) this.markUnplaceable(need);
  }

  /**
   * Whether a task of this shape, or one that asks for less, already found no host. Room only
   * shrinks during a pass, so thousands of tasks that wait alike are answered by the first.
   */
  isKnownUnplaceable(need: Shape): boolean {
    return this.#full.some(
      (shape) => fits(shape.resources, need.resources) && covers(shape.racks, need.racks),
    );
  }

  markUnplaceable({ resources, racks }: Shape): void {
    this.#full.push({ resources, racks });
  }

  /** Whether some host could hold the task if it were empty. */
  canEverFit(need: Shape): boolean {
    const { cpu, memoryMb, accelerators } = need.resources;
    const key = `${cpu} ${memoryMb} ${accelerators} ${need.racks.join(' ')}`;
    const known = this.#possible.get(key);
    if (known !== undefined) return known;
    const possible = this.#live.some(
      (host) => allowsRack(need, host) && fits(need.resources, host.capacity),
    );
    this.#possible.set(key, possible);
    return possible;
  }
}

function bucketOf(cpu: number): number {
  return Math.min(LAST_BUCKET, Math.max(0, Math.floor(cpu + MARGIN)));
}

/** Whether the task may run on the host's rack. */
export function allowsRack(need: Pick<Shape, 'racks'>, host: HostState): boolean {
  return need.racks.length === 0 || need.racks.includes(host.rack);
}

function covers(outer: readonly string[], inner: readonly string[]): boolean {
  if (outer.length === 0) return true;
  return inner.length > 0 && inner.every((rack) => outer.includes(rack));
}
