import type { Fault, Manifest, ManifestRejection, ManifestSnapshot } from '@redwingcrank/protocol';
import { manifestRecordSchema, readManifest } from '@redwingcrank/protocol';
import type { StreamFold } from './stream-fold.js';

export type { ManifestRejection } from '@redwingcrank/protocol';

export type ManifestVerdict =
  | { readonly accepted: true; readonly offset: number; readonly manifest: Manifest }
  | ({ readonly accepted: false } & ManifestRejection);

/** Maximum number of rejections kept for operators; they are part of every snapshot. */
const MAX_KEPT_REJECTIONS = 50;

/** Maximum length of a rejection's detail, in characters: it may list thousands of faults. */
const MAX_DETAIL_CHARS = 1_000;

/**
 * Folds the manifest stream. Invariant: the version in force never decreases, and every reader of
 * the same records has the same manifest in force, because the verdict on a record depends only on
 * the records before it.
 */
export class ManifestFold implements StreamFold<ManifestSnapshot, ManifestVerdict> {
  #offset = -1;

  #inForce: Manifest | undefined;

  #acceptedId: string | undefined;

  #rejections: ManifestRejection[] = [];

  get offset(): number {
    return this.#offset;
  }

  /** The manifest in force, or undefined before the first. */
  get inForce(): Manifest | undefined {
    return this.#inForce;
  }

  get version(): number {
    return this.#inForce?.version ?? 0;
  }

  /** The newest rejections, oldest first; the same on all nodes that have read to this offset. */
  get rejections(): readonly ManifestRejection[] {
    return this.#rejections;
  }

  /**
   * Folds the next record of the stream.
   *
   * @param offset - The offset of the record.
   * @param value - The record as read from the log; it may have any content.
   * @returns The manifest now in force, or why the record was rejected.
   */
  apply(offset: number, value: unknown): ManifestVerdict {
    this.#offset = offset;
    const record = manifestRecordSchema.safeParse(value);
    if (!record.success) return this.#reject('', 'foreign', 'not a manifest record');
    const { id } = record.data;
    // An append whose answer was lost may be in the log twice. The second copy is not a conflict.
    if (id === this.#acceptedId) {
      return this.#reject(id, 'repeated', 'a second copy of the one in force');
    }
    const reading = readManifest(record.data.manifest);
    if (!reading.ok) return this.#reject(id, 'invalid', describe(reading.faults));
    const { manifest } = reading;
    // The first valid successor wins. Without this check, a manifest that lost the race or is
    // replayed later would undo a manifest that nodes already act on.
    if (manifest.replaces !== this.version) {
      const detail = `replaces ${manifest.replaces}, but ${this.version} is in force`;
      return this.#reject(id, 'conflict', detail);
    }
    const moveFaults = [...movedJobFaults(this.#inForce, manifest)];
    if (moveFaults.length > 0) return this.#reject(id, 'invalid', describe(moveFaults));
    this.#inForce = manifest;
    this.#acceptedId = id;
    return { accepted: true, offset, manifest };
  }

  skip(offset: number): void {
    this.#offset = offset;
  }

  toSnapshot(): ManifestSnapshot {
    return {
      offset: this.#offset,
      acceptedId: this.#acceptedId,
      manifest: this.#inForce,
      rejections: [...this.#rejections],
    };
  }

  /** Refuses a state with a lower version, or with other contents under the same version. */
  mayRestore(state: ManifestSnapshot): boolean {
    const reading = readManifest(state.manifest);
    if (!reading.ok) return state.manifest === undefined && this.version === 0;
    if (reading.manifest.version !== this.version) return reading.manifest.version > this.version;
    return JSON.stringify(reading.manifest) === JSON.stringify(this.#inForce);
  }

  restore(state: ManifestSnapshot): void {
    const reading = readManifest(state.manifest);
    this.#offset = state.offset;
    this.#inForce = reading.ok ? reading.manifest : undefined;
    this.#acceptedId = state.acceptedId;
    this.#rejections = [...state.rejections];
  }

  #reject(id: string, reason: ManifestRejection['reason'], text: string): ManifestVerdict {
    const detail = text.slice(0, MAX_DETAIL_CHARS);
    const rejection: ManifestRejection = { offset: this.#offset, id, reason, detail };
    this.#rejections.push(rejection);
    if (this.#rejections.length > MAX_KEPT_REJECTIONS) this.#rejections.shift();
    return { accepted: false, ...rejection };
  }
}

function describe(faults: readonly Fault[]): string {
  return faults.map((f) => `${f.path}: expected ${f.expected}`).join('; ');
}

/**
 * Yields a fault for each job that a manifest would move to another data centre. The old data
 * centre may be cut off and continue to run the tasks while the new one starts them, so the tasks
 * would run twice. Moving a job is therefore not allowed.
 */
function* movedJobFaults(inForce: Manifest | undefined, next: Manifest): Generator<Fault> {
  const dataCentres = new Map(inForce?.jobs.map((job) => [job.name, job.dataCentre]));
  for (const [i, { name, dataCentre }] of next.jobs.entries()) {
    const current = dataCentres.get(name);
    if (current !== undefined && current !== dataCentre) {
      const expected = `${current}, where job ${name} is in force`;
      yield { path: `jobs.${i}.dataCentre`, expected, found: dataCentre };
    }
  }
}
