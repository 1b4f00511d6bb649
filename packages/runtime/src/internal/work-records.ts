import type { JobSpec, PressWeights } from '@redwingcrank/jobs';
import { UNTOLD_LEASE_MS, surelyOverMs } from './timing.js';

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
  /**
   * No lease of this term ends later than this after the sending of its newest record of any kind,
   * in milliseconds of a worker's clock; but for those of `silent` workers.
   */
  readonly leasesMs: number;
  /** All leases of the terms before are over so long after the sending of this record, in ms. */
  readonly formerMs: number;
  /**
   * Workers that do not answer, and after how many milliseconds all leases there are over. They get
   * no lease until a later record is stored that does not name them.
   */
  readonly silent: Readonly<Record<string, number>>;
}

/** For records of nodes that do not tell of their leases yet. */
const UNTOLD = {
  leasesMs: UNTOLD_LEASE_MS,
  formerMs: surelyOverMs(UNTOLD_LEASE_MS),
  silent: {},
} as const;

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

/** Whether only the scheduling node writes records of this key. */
export function isLeaderKey(key: string): boolean {
  const kind = parseKey(key)?.kind;
  return kind === 'leader' || kind === 'learned' || kind === 'progress';
}

export function encodeJob(spec: JobSpec): string {
  return JSON.stringify(spec);
}

export function decodeJob(text: string): JobSpec {
  return JSON.parse(text) as JobSpec;
}

export function encodeLeader(rec: LeaderRecord): string {
  return JSON.stringify(rec);
}

export function decodeLeader(text: string): LeaderRecord {
  return { ...UNTOLD, ...(JSON.parse(text) as Partial<LeaderRecord>) } as LeaderRecord;
}

export function encodeLearned(weights: PressWeights): string {
  return JSON.stringify(weights);
}

export function decodeLearned(text: string): PressWeights {
  return JSON.parse(text) as PressWeights;
}
