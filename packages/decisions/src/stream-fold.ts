/** A deterministic fold of one stream whose state can be saved and restored. */
export interface StreamFold<S extends { readonly offset: number }, V> {
  /** The offset of the last folded record; -1 before the first. */
  readonly offset: number;

  /** Folds the next record. */
  apply(offset: number, value: unknown): V;

  /** Advances the offset past a record that is not a decision. */
  skip(offset: number): void;

  /** Returns the complete state as plain data. */
  toSnapshot(): S;

  /** Returns whether a state may replace this one; it must not revert what is already in force. */
  mayRestore(state: S): boolean;

  /** Replaces the state of this fold. */
  restore(state: S): void;
}
