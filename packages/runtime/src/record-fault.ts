/**
 * Why a record cannot be used.
 *
 * - `unreadable`: its bytes are no record, no text, or no JSON object.
 * - `missing`: a field that every such record has is not there.
 * - `wrong-type`: a field holds a value of another type, or a number that no such field holds.
 * - `unknown-value`: a field holds a word that it cannot hold.
 * - `unknown-pool`: the worker belongs to a pool that the operators do not name.
 */
export type FaultReason =
  'unreadable' | 'missing' | 'wrong-type' | 'unknown-value' | 'unknown-pool';

/** What is wrong with a record. */
export interface RecordFault {
  readonly reason: FaultReason;
  /** The part of the record that is at fault, as whoever wrote it would name it. */
  readonly field: string;
}

/** What a record says, or why it says nothing that can be used. */
export type Decoded<T> = { readonly value: T } | { readonly fault: RecordFault };
