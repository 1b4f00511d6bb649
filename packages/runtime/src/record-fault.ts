/**
 * Why a record cannot be used.
 *
 * - `unreadable`: its bytes are not a record, not text, or not a JSON object.
 * - `missing`: a required field is missing.
 * - `wrong-type`: a field has a value of the wrong type or a number out of range.
 * - `unknown-value`: a field has a string that is not one of its possible values.
 * - `unknown-pool`: the worker belongs to a pool that is not configured.
 */
export type FaultReason =
  'unreadable' | 'missing' | 'wrong-type' | 'unknown-value' | 'unknown-pool';

/** What is wrong with a record. */
export interface RecordFault {
  readonly reason: FaultReason;
  /** The faulty field, as named by the writer of the record. */
  readonly field: string;
}

/** The value of a record, or why it cannot be used. */
export type Decoded<T> = { readonly value: T } | { readonly fault: RecordFault };
