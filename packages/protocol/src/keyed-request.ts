import { z } from 'zod';
import { RESULT_CODES } from './result-codes.js';
import type { ResultCodeKey } from './result-codes.js';

const headersSchema = z.record(z.string(), z.union([z.string(), z.array(z.string())]));

/**
 * A complete request with an idempotency key, as sent to the key's home: the entry host that
 * remembers the key.
 */
export const keyedRequestSchema = z.object({
  key: z.string(),
  /** Milliseconds since the caller first sent the key, as stated by the caller. */
  ageMs: z.number().min(0).optional(),
  /** Digest of all content that must be equal for two requests to count as the same. */
  fingerprint: z.string(),
  /** Digest of the sender's list of entry hosts. The home rejects requests under another list. */
  hostsDigest: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  headers: headersSchema,
  /** The body in Base64. */
  body: z.string(),
  /** Milliseconds until the request's deadline. */
  leftMs: z.number(),
});

export type KeyedRequest = z.infer<typeof keyedRequestSchema>;

const resultCodeKeySchema = z.custom<ResultCodeKey>(
  (value) => typeof value === 'string' && value in RESULT_CODES,
);

/** The complete answer of an endpoint, or the reason why there is no answer. */
export const keyedAnswerSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('answer'),
    status: z.int(),
    headers: headersSchema,
    /** The body in Base64. */
    body: z.string(),
  }),
  z.object({
    type: z.literal('problem'),
    code: resultCodeKeySchema,
    detail: z.string(),
    /** Whether any send of the key has run the request, as far as is known. */
    outcome: z.enum(['not-run', 'unknown', 'ran']),
    /** Whether this send is known not to have run the request. */
    thisSendNotRun: z.boolean(),
    retryAfterS: z.number().optional(),
  }),
]);

export type KeyedAnswer = z.infer<typeof keyedAnswerSchema>;

/** The keys of a home whose process ended, stored by a peer until the home restarts. */
export const keyMemorySnapshotSchema = z.object({
  nodeId: z.string(),
  /** The incarnation that ended. Only its direct successor may take over its keys. */
  incarnation: z.string(),
  /** The length in milliseconds of the last period of which no key is missing; null if unlimited. */
  completeForMs: z.number().nullable(),
  keys: z
    .array(
      z.object({
        key: z.string(),
        fingerprint: z.string(),
        ageMs: z.number(),
        state: z.enum(['ran', 'unknown']),
      }),
    )
    .readonly(),
});

export type KeyMemorySnapshot = z.infer<typeof keyMemorySnapshotSchema>;

/** The keys stored for a home, with the time in milliseconds for which they were stored. */
export interface StoredKeyMemory {
  readonly memory: KeyMemorySnapshot;
  readonly heldMs: number;
}
