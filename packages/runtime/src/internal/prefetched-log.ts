import type {
  AppendOptions,
  AppendResult,
  KeyedWrite,
  NewestPage,
  ReadResult,
} from '../keyed-log.js';
import { KeyedLog } from '../keyed-log.js';

/**
 * A log of which the first page is asked for before it is needed. A new scheduling node needs the
 * workers' entries as soon as its claim is stored; asked for only then, a store that takes 0.6 s for
 * a call keeps it from the workers for as long, while their leases run out.
 *
 * The page may be as old as the claim. Whoever loads a log reads on from there before it counts its
 * view as complete.
 */
export class PrefetchedLog extends KeyedLog {
  readonly #source: KeyedLog;

  #firstPage: Promise<NewestPage> | undefined;

  constructor(source: KeyedLog) {
    super();
    this.#source = source;
    this.#firstPage = source.newest('');
    // A failure is the reader's to see, if there is one.
    this.#firstPage.catch(() => {});
  }

  override append(records: readonly KeyedWrite[], options?: AppendOptions): Promise<AppendResult> {
    return this.#source.append(records, options);
  }

  override read(from: number, waitMs: number): Promise<ReadResult> {
    return this.#source.read(from, waitMs);
  }

  override async newest(after: string): Promise<NewestPage> {
    const firstPage = after === '' ? this.#firstPage : undefined;
    if (!firstPage) return this.#source.newest(after);
    this.#firstPage = undefined;
    return firstPage;
  }
}
