/** Counts by queue priority; 0 is the most urgent. */
export class CountByPriority {
  readonly #counts = new Map<number, number>();

  add(priority: number, count: number): void {
    this.#counts.set(priority, (this.#counts.get(priority) ?? 0) + count);
  }

  /** Returns the count of the priorities that are not less urgent than the given one. */
  upTo(priority: number): number {
    let sum = 0;
    for (const [counted, count] of this.#counts) if (counted <= priority) sum += count;
    return sum;
  }
}
