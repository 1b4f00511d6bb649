import type { WorkerAddress } from '../task-workers.js';
import { parseObject } from './parse-object.js';

const KIND = 'lease-grants';

/** What the leader permits a delegate: to renew leases until given times, in the leader's name. */
export interface LeaseGrantsMessage {
  /** The fencing token of the leader. */
  readonly token: number;
  /** Workers that this connection has not named before under this token, by index. */
  readonly workers: readonly (readonly [index: number, worker: WorkerAddress])[];
  /** The end of the grant by index of the worker, in milliseconds of that worker's clock. */
  readonly until: readonly (readonly [index: number, untilMs: number])[];
}

/** Encodes the message as one line. */
export function encodeLeaseGrants({ token, workers, until }: LeaseGrantsMessage): string {
  const rows = workers.map(([index, { id, address, incarnation }]) =>
    incarnation === undefined ? [index, id, address] : [index, id, address, incarnation],
  );
  return JSON.stringify({ kind: KIND, token, workers: rows, until });
}

/** Decodes a line from the leader; returns undefined for messages of any other kind or form. */
export function decodeLeaseGrants(line: string): LeaseGrantsMessage | undefined {
  const { kind, token, workers, until } =
    parseObject<LeaseGrantsMessage & { kind: string }>(line) ?? {};
  if (kind !== KIND || !Number.isSafeInteger(token)) return undefined;
  if (!isListOf(workers, isWorkerRow) || !isListOf(until, isGrantRow)) return undefined;
  return {
    token: token as number,
    workers: workers.map(([index, id, address, incarnation]) => [
      index,
      { id, address, ...(incarnation !== undefined && { incarnation }) },
    ]),
    until,
  };
}

function isListOf<T>(value: unknown, isRow: (row: unknown) => row is T): value is readonly T[] {
  return Array.isArray(value) && value.every((row) => isRow(row));
}

/** Whether this is a row of index, id, address and, where it is known, the incarnation. */
function isWorkerRow(row: unknown): row is readonly [number, string, string, number?] {
  if (!Array.isArray(row)) return false;
  const [index, id, address, incarnation] = row as unknown[];
  if (incarnation !== undefined && !Number.isSafeInteger(incarnation)) return false;
  return Number.isSafeInteger(index) && typeof id === 'string' && typeof address === 'string';
}

function isGrantRow(row: unknown): row is readonly [number, number] {
  if (!Array.isArray(row)) return false;
  const [index, untilMs] = row as unknown[];
  return Number.isSafeInteger(index) && Number.isFinite(untilMs);
}
