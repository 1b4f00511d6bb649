/** Counts how often each coverage point was hit, and how many steps ran. */
export class Coverage {
  readonly #counts = new Map<string, number>();

  #steps = 0;

  get steps(): number {
    return this.#steps;
  }

  step(): void {
    this.#steps += 1;
  }

  /** Counts a coverage point; called where its failure takes effect, not where it is only drawn. */
  hit(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }

  count(name: string): number {
    return this.#counts.get(name) ?? 0;
  }
}
