import type { KeyMemorySnapshot, StoredKeyMemory } from '@redwingcrank/protocol';

/** A home that is down for longer starts without its predecessor's memory. */
const RETENTION_MS = 600_000;

interface StoredMemory {
  readonly memory: KeyMemorySnapshot;
  readonly storedAt: number;
}

/** Keeps the key memories of peers that shut down until they are started again. */
export class KeyMemoryStore {
  readonly #memories = new Map<string, StoredMemory>();

  keep(memory: KeyMemorySnapshot): void {
    this.#memories.set(memory.nodeId, { memory, storedAt: performance.now() });
  }

  /** Removes and returns a node's memory, so that each memory is taken over once. */
  take(nodeId: string): StoredKeyMemory | null {
    const stored = this.#memories.get(nodeId);
    this.#memories.delete(nodeId);
    if (!stored) return null;
    const heldMs = performance.now() - stored.storedAt;
    return heldMs > RETENTION_MS ? null : { memory: stored.memory, heldMs };
  }
}
