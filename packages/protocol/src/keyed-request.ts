import { z } from 'zod';
import { RESULT_CODES } from './result-codes.js';
import type { ResultCodeKey } from './result-codes.js';

const headersSchema = z.record(z.string(), z.union([z.string(), z.array(z.string())]));

/** A request with an idempotency key, as it goes whole to the key's home. */
export const keyedRequestSchema = z.object({
  key: z.string(),
  /** Milliseconds since the caller first sent the key, by the caller's word. */
  ageMs: z.number().min(0).optional(),
  /** Digest of everything that makes two requests the same one. */
  fingerprint: z.string(),
  /** Digest of the entry hosts that the sender knows: a home by another list is none. */
  hostsDigest: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  headers: headersSchema,
  /** Base64. */
  body: z.string(),
  /** Milliseconds that are left. */
  leftMs: z.number(),
});

export type KeyedRequest = z.infer<typeof keyedRequestSchema>;

const codeKeySchema = z.custom<ResultCodeKey>(
  (value) => typeof value === 'string' && value in RESULT_CODES,
);

/** The whole answer of an endpoint, or why there is none. */
export const keyedAnswerSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('answer'),
    status: z.int(),
    headers: headersSchema,
    /** Base64. */
    body: z.string(),
  }),
  z.object({
    type: z.literal('problem'),
    code: codeKeySchema,
    detail: z.string(),
    /** What is known of the key, over all sends of it. */
    outcome: z.enum(['not-run', 'unknown', 'ran']),
    /** Whether it is known that this send ran nothing. */
    thisSendNotRun: z.boolean(),
    retryAfterS: z.number().optional(),
  }),
]);

export type KeyedAnswer = z.infer<typeof keyedAnswerSchema>;

/** The keys of a home that ended, kept by a peer until the home starts again. */
export const keyMemorySnapshotSchema = z.object({
  nodeId: z.string(),
  /** The process that ended: only its direct successor may take the memory over. */
  incarnation: z.string(),
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

/** A kept memory, with the milliseconds for which it was kept. */
export interface StoredKeyMemory {
  readonly memory: KeyMemorySnapshot;
  readonly heldMs: number;
}
