import { CodedError, DEFAULT_PAGE_LIMIT, MAX_PAGE_LIMIT } from '@redwingcrank/protocol';

/** The page of a list that a client requests. */
export interface PageQuery {
  readonly limit: number;
  /** The key of the last item on the previous page; empty for the first page. */
  readonly cursor: string;
}

/**
 * Parses the page parameters.
 *
 * @throws CodedError (104) if the limit is not a whole number within its bounds.
 */
export function pageQueryOf(params: URLSearchParams): PageQuery {
  const text = params.get('limit');
  const limit = text === null ? DEFAULT_PAGE_LIMIT : Number(text);
  if (!Number.isInteger(limit) || limit < 1 || limit > MAX_PAGE_LIMIT) {
    const detail = `limit: expected 1 to ${MAX_PAGE_LIMIT}, found ${text}`;
    throw new CodedError('badAdminRequest', detail);
  }
  return { limit, cursor: params.get('cursor') ?? '' };
}

/**
 * Returns the items after the cursor in the order of their keys. The cursor is a key, not a
 * position: while items are added and removed, no remaining item is repeated or skipped.
 */
export function pageOf<T>(
  items: Iterable<T>,
  keyOf: (item: T) => string,
  { limit, cursor }: PageQuery,
): { readonly items: readonly T[]; readonly next: string | null } {
  const later = [...items].filter((item) => keyOf(item) > cursor);
  later.sort((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1));
  const page = later.slice(0, limit);
  const last = page.at(-1);
  const next = later.length > limit && last !== undefined ? keyOf(last) : null;
  return { items: page, next };
}
