import type { HostState } from '../control-fold.js';

/** Counts the replicas of one service by host and rack, so that the next replica can be spread. */
export class ReplicaCounts {
  readonly #byHost = new Map<string, number>();

  readonly #byRack = new Map<string, number>();

  add({ hostId, rack }: HostState, change = 1): void {
    this.#byHost.set(hostId, this.onHost(hostId) + change);
    this.#byRack.set(rack, this.onRack(rack) + change);
  }

  onHost(hostId: string): number {
    return this.#byHost.get(hostId) ?? 0;
  }

  onRack(rack: string): number {
    return this.#byRack.get(rack) ?? 0;
  }
}
