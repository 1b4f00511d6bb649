import type { Service } from '@redwingcrank/protocol';

/** RFC 9110, section 9.2.2. */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE']);

/**
 * Returns whether a request may be sent more than once. The caller's header takes precedence over
 * the manifest's rules, and these over the method.
 *
 * @param path - The path below the service's prefix.
 * @param header - The value of the caller's header, if any.
 */
export function isIdempotent(
  service: Service,
  method: string,
  path: string,
  header: boolean | undefined,
): boolean {
  if (header !== undefined) return header;
  const rules = service.requestRules.filter(
    (rule) => rule.method === method && path.startsWith(rule.path),
  );
  const longest = rules.sort((a, b) => b.path.length - a.path.length)[0];
  return longest?.idempotent ?? IDEMPOTENT_METHODS.has(method);
}
