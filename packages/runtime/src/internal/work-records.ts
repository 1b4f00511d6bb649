import type { PressWeights } from '@redwingcrank/jobs';
import type { Decoded } from '../record-fault.js';
import { parseObject } from './parse-object.js';

/** Which kinds of records the work log holds. Their keys are one letter, a slash and the job. */
export type WorkRecordKind = 'job' | 'progress' | 'cancel' | 'leader' | 'learned';

const LETTERS: Readonly<Record<string, WorkRecordKind>> = {
  j: 'job',
  s: 'progress',
  c: 'cancel',
};

const LEADER_KEY = 'leader';

const LEARNED_KEY = 'learned';

/** Says which node schedules. */
export interface LeaderRecord {
  /** The fencing token of its orders, and the epoch of its appends. */
  readonly epoch: number;
  readonly node: string;
  /** Tells two claims of one node apart. */
  readonly nonce: string;
  /** The node has given up the role: another may claim it at once. */
  readonly resigned: boolean;
}

export const jobKey = (id: string): string => `j/${id}`;

export const progressKey = (id: string): string => `s/${id}`;

export const cancelKey = (id: string): string => `c/${id}`;

export const leaderKey = (): string => LEADER_KEY;

export const learnedKey = (): string => LEARNED_KEY;

export function parseKey(key: string): { kind: WorkRecordKind; id: string } | undefined {
  if (key === LEADER_KEY) return { kind: 'leader', id: '' };
  if (key === LEARNED_KEY) return { kind: 'learned', id: '' };
  const kind = LETTERS[key.charAt(0)];
  if (!kind || key.charAt(1) !== '/') return undefined;
  return { kind, id: key.slice(2) };
}

export function encodeLeader(rec: LeaderRecord): string {
  return JSON.stringify(rec);
}

/** Which node schedules, according to a record. */
export function decodeLeader(text: string): Decoded<LeaderRecord> {
  const rec = parseObject<LeaderRecord>(text);
  if (!rec) return { fault: { reason: 'unreadable', field: 'value' } };
  const { epoch, node, nonce, resigned } = rec;
  // The next claim counts on from it, and workers compare it with the tokens that they have seen.
  if (!isEpoch(epoch)) return { fault: { reason: 'wrong-type', field: 'epoch' } };
  if (typeof node !== 'string') return { fault: { reason: 'wrong-type', field: 'node' } };
  if (typeof nonce !== 'string') return { fault: { reason: 'wrong-type', field: 'nonce' } };
  if (typeof resigned !== 'boolean') return { fault: { reason: 'wrong-type', field: 'resigned' } };
  return { value: { epoch, node, nonce, resigned } };
}

export function encodeLearned(weights: PressWeights): string {
  return JSON.stringify(weights);
}

/** What was learned of images, according to a record: each weight is a number. */
export function decodeLearned(text: string): Decoded<PressWeights> {
  const weights = parseObject<PressWeights>(text);
  if (!weights) return { fault: { reason: 'unreadable', field: 'value' } };
  for (const [image, row] of Object.entries(weights)) {
    if (!isRow(row)) return { fault: { reason: 'wrong-type', field: image } };
  }
  return { value: weights as PressWeights };
}

function isEpoch(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

function isRow(row: unknown): boolean {
  if (typeof row !== 'object' || row === null || Array.isArray(row)) return false;
  return Object.values(row).every((weight) => Number.isFinite(weight));
}
