import type { KeyMemorySnapshot, StoredKeyMemory } from '@redwingcrank/protocol';

/** A home that is gone for longer starts with an empty memory. */
const KEEP_MS = 600_000;

interface Kept {
  readonly memory: KeyMemorySnapshot;
  readonly at: number;
}

/** Keeps the keys of peers that were shut down, until they are back. */
export class KeyMemoryStore {
  readonly #kept = new Map<string, Kept>();

  keep(memory: KeyMemorySnapshot): void {
    this.#kept.set(memory.nodeId, { memory, at: performance.now() });
  }

  /** Gives a node's keys away: each memory is taken over once. */
  take(nodeId: string): StoredKeyMemory | null {
    const kept = this.#kept.get(nodeId);
    this.#kept.delete(nodeId);
    if (!kept) return null;
    const heldMs = performance.now() - kept.at;
    return heldMs > KEEP_MS ? null : { memory: kept.memory, heldMs };
  }
}
