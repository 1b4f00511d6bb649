/**
 * Number of record ids remembered to detect duplicates. A duplicate follows the original within the
 * time limit of the log's answers. Snapshots contain the ids, so their number has to be limited.
 */
const MAX_REMEMBERED_IDS = 2_000;

/** The ids of the newest records, oldest first. */
export class RecordIds {
  readonly #ids = new Set<string>();

  has(id: string): boolean {
    return this.#ids.has(id);
  }

  add(id: string): void {
    this.#ids.add(id);
    if (this.#ids.size <= MAX_REMEMBERED_IDS) return;
    const [oldest] = this.#ids;
    if (oldest !== undefined) this.#ids.delete(oldest);
  }

  /** Returns all ids, for a snapshot. */
  toArray(): string[] {
    return [...this.#ids];
  }

  /** Replaces the ids with those of a snapshot. */
  restore(ids: readonly string[]): void {
    this.#ids.clear();
    ids.forEach((id) => this.#ids.add(id));
  }
}
