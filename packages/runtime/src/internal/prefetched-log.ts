import type {
  AppendOptions,
  AppendResult,
  KeyedWrite,
  NewestPage,
  ReadResult,
} from '../keyed-log.js';
import { KeyedLog } from '../keyed-log.js';

/**
 * A log whose first page is requested before it is needed. A new leader needs the workers' entries
 * as soon as its claim is stored. If it requested them only then, a store that takes 0.6 s per call
 * would delay its contact with the workers by that time while their leases run out.
 *
 * The page may be as old as the claim. A reader that loads a log continues to read from there
 * before its view counts as complete.
 */
export class PrefetchedLog extends KeyedLog {
  readonly #source: KeyedLog;

  #firstPage: Promise<NewestPage> | undefined;

  constructor(source: KeyedLog) {
    super();
    this.#source = source;
    this.#firstPage = source.newest('');
    // A failure is reported to the reader, if there is one.
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
