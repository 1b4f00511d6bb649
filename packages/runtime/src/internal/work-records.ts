import type { InterferenceWeights, RetryAfter } from '@redwingcrank/jobs';
import type { Decoded, RecordFault } from '../record-fault.js';
import { parseObject } from './parse-object.js';
import { DEFAULT_LEASE_MS, withClockDrift } from './timing.js';

/** Which kinds of records the work log holds. Their keys are one letter, a slash and the job. */
export type WorkRecordKind = 'job' | 'progress' | 'cancel' | 'leader' | 'learned' | 'offer';

const LETTERS: Readonly<Record<string, WorkRecordKind>> = {
  j: 'job',
  s: 'progress',
  c: 'cancel',
};

const LEADER_KEY = 'leader';

const LEARNED_KEY = 'learned';

const OFFER_KEY = 'offer';

/** The process of a node, as others reach it. */
export interface NodeProcess {
  /** HOST:PORT. */
  readonly address: string;
  /** Tells it from earlier and later processes of the node. */
  readonly id: string;
}

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
  /** Counts the records of this term; the claim has 0. */
  readonly number: number;
  /** Processor time of the node, in cores; absent where it does not tell. */
  readonly cores?: number;
  /** The same of the largest node that it has heard of, itself counted; absent without the other. */
  readonly largestCores?: number;
  /** For whom the node has given up the role. */
  readonly successor?: string;
  /** The process that schedules; absent where it takes no connections of other nodes. */
  readonly process?: NodeProcess;
  /** Who is to claim the role first when that process ends. */
  readonly standby?: string;
  /** By lane that takes no more jobs now: when callers may come back, in milliseconds. */
  readonly retryAfterMs?: RetryAfter;
}

/** A node offers to take the role of a smaller leader. */
export interface OfferRecord {
  readonly node: string;
  /** Its processor time, in cores. */
  readonly cores: number;
  /** The leader's. */
  readonly epoch: number;
}

/** For records of nodes that do not tell of their leases yet. */
const UNTOLD = {
  leasesMs: DEFAULT_LEASE_MS,
  formerMs: withClockDrift(DEFAULT_LEASE_MS),
  silent: {},
  number: 0,
} as const;

export const jobKey = (id: string): string => `j/${id}`;

export const progressKey = (id: string): string => `s/${id}`;

export const cancelKey = (id: string): string => `c/${id}`;

export const leaderKey = (): string => LEADER_KEY;

export const learnedKey = (): string => LEARNED_KEY;

export const offerKey = (): string => OFFER_KEY;

export function parseKey(key: string): { kind: WorkRecordKind; id: string } | undefined {
  if (key === LEADER_KEY) return { kind: 'leader', id: '' };
  if (key === LEARNED_KEY) return { kind: 'learned', id: '' };
  if (key === OFFER_KEY) return { kind: 'offer', id: '' };
  const kind = LETTERS[key.charAt(0)];
  if (!kind || key.charAt(1) !== '/') return undefined;
  return { kind, id: key.slice(2) };
}

/** Whether only the scheduling node writes records of this key. */
export function isLeaderKey(key: string): boolean {
  const kind = parseKey(key)?.kind;
  return kind === 'leader' || kind === 'learned' || kind === 'progress';
}

export function encodeLeader(rec: LeaderRecord): string {
  return JSON.stringify(rec);
}

/** Which node schedules, according to a record. */
export function decodeLeader(text: string): Decoded<LeaderRecord> {
  const rec = parseObject<LeaderRecord>(text);
  if (!rec) return { fault: { reason: 'unreadable', field: 'value' } };
  const { epoch, node, nonce, resigned, leasesMs, formerMs, silent, number } = {
    ...UNTOLD,
    ...rec,
  };
  // The next claim counts on from it, and workers compare it with the tokens that they have seen.
  if (!isEpoch(epoch)) return wrongType('epoch');
  if (typeof node !== 'string') return wrongType('node');
  if (typeof nonce !== 'string') return wrongType('nonce');
  if (typeof resigned !== 'boolean') return wrongType('resigned');
  // Sums with anything but a number would be over at once, or never.
  if (!isTime(leasesMs)) return wrongType('leasesMs');
  if (!isTime(formerMs)) return wrongType('formerMs');
  if (!isTable(silent, isTime)) return wrongType('silent');
  if (!isTime(number)) return wrongType('number');
  const { cores, largestCores, successor, process, standby, retryAfterMs } = rec;
  if (cores !== undefined && !isTime(cores)) return wrongType('cores');
  if (largestCores !== undefined && !isTime(largestCores)) return wrongType('largestCores');
  if (successor !== undefined && typeof successor !== 'string') return wrongType('successor');
  if (process !== undefined && !isProcess(process)) return wrongType('process');
  if (standby !== undefined && typeof standby !== 'string') return wrongType('standby');
  if (retryAfterMs !== undefined && !isTable(retryAfterMs, isTime))
    return wrongType('retryAfterMs');
  const told = { epoch, node, nonce, resigned, leasesMs, formerMs, silent, number };
  const sizes = cores === undefined || largestCores === undefined ? {} : { cores, largestCores };
  return {
    value: {
      ...told,
      ...sizes,
      ...(successor === undefined ? {} : { successor }),
      ...(process === undefined ? {} : { process }),
      ...(standby === undefined ? {} : { standby }),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    },
  };
}

export function encodeOffer(rec: OfferRecord): string {
  return JSON.stringify(rec);
}

/** Who offers to take the role, according to a record. */
export function decodeOffer(text: string): Decoded<OfferRecord> {
  const rec = parseObject<OfferRecord>(text);
  if (!rec) return { fault: { reason: 'unreadable', field: 'value' } };
  const { node, cores, epoch } = rec;
  if (typeof node !== 'string') return wrongType('node');
  if (!isTime(cores)) return wrongType('cores');
  if (!isEpoch(epoch)) return wrongType('epoch');
  return { value: { node, cores, epoch } };
}

export function encodeLearned(weights: InterferenceWeights): string {
  return JSON.stringify(weights);
}

/** What was learned of images, according to a record: each weight is a number. */
export function decodeLearned(text: string): Decoded<InterferenceWeights> {
  const weights = parseObject<InterferenceWeights>(text);
  if (!weights) return { fault: { reason: 'unreadable', field: 'value' } };
  return isTable(weights, isRow) ? { value: weights } : wrongType('value');
}

function wrongType(field: string): { readonly fault: RecordFault } {
  return { fault: { reason: 'wrong-type', field } };
}

function isProcess(value: unknown): value is NodeProcess {
  if (typeof value !== 'object' || value === null) return false;
  const { address, id } = value as Partial<NodeProcess>;
  return typeof address === 'string' && typeof id === 'string';
}

function isEpoch(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

function isTime(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isWeight(value: unknown): value is number {
  return Number.isFinite(value);
}

function isRow(value: unknown): value is Readonly<Record<string, number>> {
  return isTable(value, isWeight);
}

/** Whether the value is an object all of whose fields are of a kind. */
function isTable<T>(
  value: unknown,
  isEntry: (entry: unknown) => entry is T,
): value is Readonly<Record<string, T>> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return false;
  return Object.values(value).every((entry) => isEntry(entry));
}
