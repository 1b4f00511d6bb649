import fc from 'fast-check';

/** One change to a JSON value: the value at a path is replaced or dropped, or gets an extra sibling. */
export interface Mutation {
  readonly kind: 'replace' | 'drop' | 'extra';
  /** Each number selects one key of the value at the path so far, modulo the number of keys. */
  readonly path: readonly number[];
  readonly value: unknown;
}

const MAX_DEPTH = 6;

/** Values that programs often handle wrongly, drawn in addition to arbitrary JSON. */
const edgeCase = fc.constantFrom<unknown>(
  null,
  '',
  -1,
  0,
  1e308,
  0.5,
  '__proto__',
  [],
  {},
  true,
  'x'.repeat(300),
);

export const mutation: fc.Arbitrary<Mutation> = fc.record({
  kind: fc.constantFrom('replace', 'drop', 'extra'),
  path: fc.array(fc.nat(), { minLength: 1, maxLength: MAX_DEPTH }),
  value: fc.oneof(edgeCase, fc.jsonValue()),
});

/** Returns a copy of the value with the mutation applied. */
export function mutate(value: unknown, { kind, path, value: newValue }: Mutation): unknown {
  const copy: unknown = structuredClone(value);
  let parent: Record<string, unknown> | undefined;
  let key = '';
  let current: unknown = copy;
  for (const index of path) {
    if (typeof current !== 'object' || current === null) break;
    const keys = Object.keys(current);
    if (keys.length === 0) break;
    parent = current as Record<string, unknown>;
    key = keys[index % keys.length] ?? '';
    current = parent[key];
  }
  if (!parent) return newValue;
  if (kind === 'replace') parent[key] = newValue;
  else if (kind === 'drop') delete parent[key];
  else Object.defineProperty(parent, `extra-${key}`, { value: newValue, enumerable: true });
  return copy;
}
