/** A state chart as data: the events that each state accepts and the state each event leads to. */
export interface ChartFile<S extends string, E extends string> {
  readonly id: string;
  readonly initial: S;
  readonly states: Readonly<
    Record<S, { readonly final?: boolean; readonly on: Readonly<Partial<Record<E, S>>> }>
  >;
}

/** A validated state chart, flattened into one table so that a transition is a single lookup. */
export class Chart<S extends string, E extends string> {
  readonly file: ChartFile<S, E>;

  readonly #table = new Map<string, S>();

  /**
   * @param file - The chart. Every state must be reachable; a final state must accept no event.
   * @throws Error that names the invalid state.
   */
  constructor(file: ChartFile<S, E>) {
    this.file = file;
    this.#buildTable();
    this.#checkReachable();
  }

  get initial(): S {
    return this.file.initial;
  }

  /** Returns the state that `event` leads to, or undefined if `state` does not accept the event. */
  next(state: S, event: E): S | undefined {
    return this.#table.get(`${state} ${event}`);
  }

  /** Returns whether the state is final, which means that it accepts no event. */
  isFinal(state: S): boolean {
    return this.file.states[state].final === true;
  }

  #buildTable(): void {
    for (const [state, { on, final }] of this.#entries()) {
      const transitions = Object.entries(on) as [E, S][];
      if (final && transitions.length > 0) {
        throw new Error(`chart ${this.file.id}: final state ${state} must accept no event`);
      }
      for (const [event, target] of transitions) {
        if (!(target in this.file.states)) {
          throw new Error(
            `chart ${this.file.id}: ${state} has a transition to unknown state ${target}`,
          );
        }
        this.#table.set(`${state} ${event}`, target);
      }
    }
  }

  #checkReachable(): void {
    const reachable = new Set<S>([this.file.initial]);
    for (const state of reachable) {
      const targets = Object.values(this.file.states[state].on) as S[];
      targets.forEach((target) => reachable.add(target));
    }
    for (const [state] of this.#entries()) {
      if (!reachable.has(state)) {
        throw new Error(`chart ${this.file.id}: no transition leads to state ${state}`);
      }
    }
  }

  #entries(): [S, ChartFile<S, E>['states'][S]][] {
    return Object.entries(this.file.states) as [S, ChartFile<S, E>['states'][S]][];
  }
}
