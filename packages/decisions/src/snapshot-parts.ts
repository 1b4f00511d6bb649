import type { SnapshotPart } from '@redwingcrank/protocol';
import { MAX_SNAPSHOT_PARTS, MAX_SNAPSHOT_PART_CHARS } from '@redwingcrank/protocol';

/** Maximum number of incomplete snapshots kept; more are written at once only by mistake. */
const MAX_OPEN_SNAPSHOTS = 8;

/**
 * Splits a state into the parts of a snapshot.
 *
 * @param id - The id of the snapshot, which must never be reused.
 * @param state - Plain data with the offset up to which records were folded.
 * @throws RangeError if the state exceeds the maximum size of a snapshot.
 */
export function* splitSnapshot(
  id: string,
  state: { readonly offset: number },
): Generator<SnapshotPart> {
  const text = JSON.stringify(state);
  const parts = Math.ceil(text.length / MAX_SNAPSHOT_PART_CHARS);
  if (parts > MAX_SNAPSHOT_PARTS) throw new RangeError(`snapshot too large: ${parts} parts`);
  for (let part = 0; part < parts; part += 1) {
    const start = part * MAX_SNAPSHOT_PART_CHARS;
    const data = text.slice(start, start + MAX_SNAPSHOT_PART_CHARS);
    yield { type: 'snapshot-part', id, part, parts, upTo: state.offset, data };
  }
}

interface OpenSnapshot {
  readonly parts: number;
  readonly upTo: number;
  readonly data: Map<number, string>;
}

/** A snapshot of which all parts have been received. */
export interface CompleteSnapshot {
  readonly upTo: number;
  readonly text: string;
}

/**
 * Assembles snapshots from their parts. A snapshot whose writer crashed before the last part is
 * never complete, so no reader starts from a partial state.
 */
export class SnapshotCollector {
  readonly #open = new Map<string, OpenSnapshot>();

  /** @returns The snapshot that this part completes, or undefined. */
  take(part: SnapshotPart): CompleteSnapshot | undefined {
    const open = this.#openFor(part);
    if (open.parts !== part.parts || open.upTo !== part.upTo) return undefined;
    if (part.part >= open.parts) return undefined;
    open.data.set(part.part, part.data);
    if (open.data.size < open.parts) return undefined;
    this.#open.delete(part.id);
    const slices = Array.from({ length: open.parts }, (_, i) => open.data.get(i) ?? '');
    return { upTo: open.upTo, text: slices.join('') };
  }

  #openFor({ id, parts, upTo }: SnapshotPart): OpenSnapshot {
    const known = this.#open.get(id);
    if (known) return known;
    const open = { parts, upTo, data: new Map<number, string>() };
    this.#open.set(id, open);
    const [oldest] = this.#open.keys();
    if (this.#open.size > MAX_OPEN_SNAPSHOTS && oldest !== undefined) this.#open.delete(oldest);
    return open;
  }
}
