/** The fields of a type before any validation. */
export type Unchecked<T> = { readonly [Name in keyof T]?: unknown };

/** Parses a JSON object; returns undefined for any other text. */
export function parseObject<T>(text: string): Unchecked<T> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
    return isObject ? value : undefined;
  } catch {
    return undefined;
  }
}
