/** The fields of a type, none of which has been looked at. */
export type Unchecked<T> = { readonly [Name in keyof T]?: unknown };

/** Undefined for a text that is no JSON object. */
export function parseObject<T>(text: string): Unchecked<T> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
    return isObject ? value : undefined;
  } catch {
    return undefined;
  }
}
