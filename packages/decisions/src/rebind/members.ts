/** A node that may act on workers since the record at `offset` was folded. */
export interface Member {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly offset: number;
}

/** Returns the key of one membership. A restarted node is a different member. */
export function memberKey(nodeId: string, incarnation: string): string {
  return `${nodeId}/${incarnation}`;
}

/**
 * The nodes that may act on workers according to the control stream. A node acts only after it has
 * folded its own join record, so every node that can act is known to all schedulers.
 */
export class Members {
  readonly #members = new Map<string, Member>();

  #lastLeave = -1;

  /** The offset of the last record that ended a membership; -1 before the first. */
  get lastLeave(): number {
    return this.#lastLeave;
  }

  [Symbol.iterator](): IterableIterator<Member> {
    return this.#members.values();
  }

  has(nodeId: string, incarnation: string): boolean {
    return this.#members.get(nodeId)?.incarnation === incarnation;
  }

  /** Replaces the members with those of a snapshot. */
  restore(members: Iterable<Member>, lastLeave: number): void {
    this.#members.clear();
    for (const member of members) this.#members.set(member.nodeId, member);
    this.#lastLeave = lastLeave;
  }

  /** @returns The key of the membership that this one replaces, if any. */
  join(nodeId: string, incarnation: string, offset: number): string[] {
    const previous = this.#members.get(nodeId);
    if (previous?.incarnation === incarnation) return [];
    const left = previous ? this.leave(nodeId, previous.incarnation, offset) : [];
    this.#members.set(nodeId, { nodeId, incarnation, offset });
    return left;
  }

  /** @returns The key of the membership that ended, if any. */
  leave(nodeId: string, incarnation: string, offset: number): string[] {
    if (!this.has(nodeId, incarnation)) return [];
    this.#members.delete(nodeId);
    this.#lastLeave = offset;
    return [memberKey(nodeId, incarnation)];
  }
}
