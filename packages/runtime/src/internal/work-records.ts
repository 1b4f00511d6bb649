import type { InterferenceWeights, RetryAfter, StartDelays } from '@redwingcrank/jobs';
import type { Decoded, RecordFault } from '../record-fault.js';
import { parseObject } from './parse-object.js';
import { DEFAULT_LEASE_MS, withClockDrift } from './timing.js';

/**
 * The kinds of records in the logs of work. The keys of jobs, progress and cancels are one letter,
 * a slash and the job id; those of maintenance, the letter, a slash and the number of the wave.
 */
export type WorkRecordKind =
  'job' | 'progress' | 'cancel' | 'leader' | 'learned' | 'offer' | 'upkeep';

const KINDS_BY_LETTER: Readonly<Record<string, WorkRecordKind>> = {
  j: 'job',
  s: 'progress',
  c: 'cancel',
  u: 'upkeep',
};

const LEADER_KEY = 'leader';

const LEARNED_KEY = 'learned';

const OFFER_KEY = 'offer';

/** The process of a node and its address for other nodes. */
export interface NodeProcess {
  /** HOST:PORT. */
  readonly address: string;
  /** Distinguishes the process from earlier and later processes of the node. */
  readonly id: string;
}

/** Identifies the leader and states the bounds of its leases. */
export interface LeaderRecord {
  /** The fencing token of its orders, and the epoch of its appends. */
  readonly epoch: number;
  readonly node: string;
  /** Distinguishes two claims of one node. */
  readonly nonce: string;
  /** The node has resigned: another one may claim leadership immediately. */
  readonly resigned: boolean;
  /**
   * No lease of this term ends later than this after its newest record of any kind was sent, in
   * milliseconds of a worker's clock, except on `silent` workers.
   */
  readonly leasesMs: number;
  /**
   * All leases of earlier terms expire within this time after this record was sent, in
   * milliseconds.
   */
  readonly formerMs: number;
  /**
   * Workers that do not answer, and after how many milliseconds all leases there expire. They get
   * no lease until a later record that does not list them is stored.
   */
  readonly silent: Readonly<Record<string, number>>;
  /** The sequence number of the record within its term; the claim has 0. */
  readonly number: number;
  /** Processor time of the node, in cores; absent if the node does not report it. */
  readonly cores?: number;
  /** Processor time of the largest node that it knows, including itself; absent if `cores` is. */
  readonly largestCores?: number;
  /** The node in whose favour this node has resigned. */
  readonly successor?: string;
  /** The leader's process; absent if it accepts no connections from other nodes. */
  readonly process?: NodeProcess;
  /** The node that claims leadership first when that process ends. */
  readonly standby?: string;
  /** When callers may retry, in milliseconds, by capacity class that accepts no jobs now. */
  readonly retryAfterMs?: RetryAfter;
  /**
   * How many tasks a second this leader, or one before it, could start when it was overloaded; absent
   * if none was recently. With a silent or a new leader, this is still the best estimate.
   */
  readonly startsPerSecond?: number;
  /** Other nodes may renew leases of this term, also after the leader's process has ended. */
  readonly delegates?: boolean;
  /**
   * How long new jobs wait for their first start, in milliseconds, by capacity class and queue
   * priority; absent while none is known to wait.
   */
  readonly startDelayMs?: StartDelays['startDelayMs'];
  /** The work that is completed a millisecond, by the same keys. */
  readonly workRates?: StartDelays['workRates'];
  /** The number of nodes that answer callers; absent if it is not known. */
  readonly nodes?: number;
}

/** A node's offer to take over from a smaller leader. */
export interface OfferRecord {
  readonly node: string;
  /** Processor time of the node, in cores. */
  readonly cores: number;
  /** The epoch of the leader. */
  readonly epoch: number;
}

/** A larger weight was not learned: it would take all slack of a host many times over. */
const MAX_WEIGHT = 1_000_000;

/** Default fields for records of nodes that do not report their leases yet. */
const DEFAULT_FIELDS = {
  leasesMs: DEFAULT_LEASE_MS,
  formerMs: withClockDrift(DEFAULT_LEASE_MS),
  silent: {},
  number: 0,
} as const;

/** The most that the key of a record and its length take, in bytes. */
export const MAX_KEY_BYTES = 256;

export const jobKey = (id: string): string => `j/${id}`;

export const progressKey = (id: string): string => `s/${id}`;

export const cancelKey = (id: string): string => `c/${id}`;

/** The key of the record of which machines of a wave were called for maintenance. */
export const upkeepKey = (wave: number): string => `u/${wave}`;

export const leaderKey = (): string => LEADER_KEY;

export const learnedKey = (): string => LEARNED_KEY;

export const offerKey = (): string => OFFER_KEY;

export function parseKey(key: string): { kind: WorkRecordKind; id: string } | undefined {
  if (key === LEADER_KEY) return { kind: 'leader', id: '' };
  if (key === LEARNED_KEY) return { kind: 'learned', id: '' };
  if (key === OFFER_KEY) return { kind: 'offer', id: '' };
  const kind = KINDS_BY_LETTER[key.charAt(0)];
  if (!kind || key.charAt(1) !== '/') return undefined;
  return { kind, id: key.slice(2) };
}

/** Whether only the leader writes records of this key. */
export function isLeaderKey(key: string): boolean {
  const kind = parseKey(key)?.kind;
  return kind === 'leader' || kind === 'learned' || kind === 'progress' || kind === 'upkeep';
}

export function encodeLeader(rec: LeaderRecord): string {
  return JSON.stringify(rec);
}

/** Decodes a leader record. */
export function decodeLeader(text: string): Decoded<LeaderRecord> {
  const rec = parseObject<LeaderRecord>(text);
  if (!rec) return { fault: { reason: 'unreadable', field: 'value' } };
  const { epoch, node, nonce, resigned, leasesMs, formerMs, silent, number } = {
    ...DEFAULT_FIELDS,
    ...rec,
  };
  // The next claim increments the epoch, and workers compare it with the tokens that they have seen.
  if (!isPositiveInteger(epoch)) return wrongType('epoch');
  if (typeof node !== 'string') return wrongType('node');
  if (typeof nonce !== 'string') return wrongType('nonce');
  if (typeof resigned !== 'boolean') return wrongType('resigned');
  // With a value that is not a number, computed deadlines would have passed already or would never
  // pass.
  if (!isNonNegative(leasesMs)) return wrongType('leasesMs');
  if (!isNonNegative(formerMs)) return wrongType('formerMs');
  if (!isRecordOf(silent, isNonNegative)) return wrongType('silent');
  if (!isNonNegative(number)) return wrongType('number');
  const { cores, largestCores, successor, process, standby, retryAfterMs, startsPerSecond } = rec;
  const { delegates } = rec;
  if (cores !== undefined && !isNonNegative(cores)) return wrongType('cores');
  if (largestCores !== undefined && !isNonNegative(largestCores)) return wrongType('largestCores');
  if (successor !== undefined && typeof successor !== 'string') return wrongType('successor');
  if (process !== undefined && !isProcess(process)) return wrongType('process');
  if (standby !== undefined && typeof standby !== 'string') return wrongType('standby');
  if (retryAfterMs !== undefined && !isRecordOf(retryAfterMs, isNonNegative))
    return wrongType('retryAfterMs');
  if (startsPerSecond !== undefined && !isPositive(startsPerSecond))
    return wrongType('startsPerSecond');
  if (delegates !== undefined && typeof delegates !== 'boolean') return wrongType('delegates');
  const { startDelayMs, workRates, nodes } = rec;
  if (startDelayMs !== undefined && !isRecordOf(startDelayMs, isNonNegative))
    return wrongType('startDelayMs');
  if (workRates !== undefined && !isRecordOf(workRates, isPositive)) return wrongType('workRates');
  if (nodes !== undefined && !isPositiveInteger(nodes)) return wrongType('nodes');
  const required = { epoch, node, nonce, resigned, leasesMs, formerMs, silent, number };
  const sizes = cores === undefined || largestCores === undefined ? {} : { cores, largestCores };
  return {
    value: {
      ...required,
      ...sizes,
      ...(successor === undefined ? {} : { successor }),
      ...(process === undefined ? {} : { process }),
      ...(standby === undefined ? {} : { standby }),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
      ...(startsPerSecond === undefined ? {} : { startsPerSecond }),
      ...(delegates === undefined ? {} : { delegates }),
      ...(startDelayMs === undefined ? {} : { startDelayMs }),
      ...(workRates === undefined ? {} : { workRates }),
      ...(nodes === undefined ? {} : { nodes }),
    },
  };
}

export function encodeOffer(rec: OfferRecord): string {
  return JSON.stringify(rec);
}

/** Decodes an offer to take over leadership. */
export function decodeOffer(text: string): Decoded<OfferRecord> {
  const rec = parseObject<OfferRecord>(text);
  if (!rec) return { fault: { reason: 'unreadable', field: 'value' } };
  const { node, cores, epoch } = rec;
  if (typeof node !== 'string') return wrongType('node');
  if (!isNonNegative(cores)) return wrongType('cores');
  if (!isPositiveInteger(epoch)) return wrongType('epoch');
  return { value: { node, cores, epoch } };
}

/**
 * Encodes what was learned about images, in at most `maxBytes`: the images that do not fit are left
 * out, and a later leader learns them again.
 */
export function encodeLearned(weights: InterferenceWeights, maxBytes = Infinity): string {
  const rows: string[] = [];
  let bytes = 2;
  for (const [image, row] of Object.entries(weights)) {
    const text = `${JSON.stringify(image)}:${JSON.stringify(row)}`;
    bytes += Buffer.byteLength(text) + 1;
    if (bytes > maxBytes) break;
    rows.push(text);
  }
  return `{${rows.join(',')}}`;
}

/** Decodes what was learned about images: every weight must be a number. */
export function decodeLearned(text: string): Decoded<InterferenceWeights> {
  const weights = parseObject<InterferenceWeights>(text);
  if (!weights) return { fault: { reason: 'unreadable', field: 'value' } };
  return isRecordOf(weights, isRow) ? { value: weights } : wrongType('value');
}

function wrongType(field: string): { readonly fault: RecordFault } {
  return { fault: { reason: 'wrong-type', field } };
}

function isProcess(value: unknown): value is NodeProcess {
  if (typeof value !== 'object' || value === null) return false;
  const { address, id } = value as Partial<NodeProcess>;
  return typeof address === 'string' && typeof id === 'string';
}

function isPositiveInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

function isPositive(value: unknown): value is number {
  return isNonNegative(value) && value > 0;
}

function isNonNegative(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isWeight(value: unknown): value is number {
  return Number.isFinite(value) && Math.abs(value as number) <= MAX_WEIGHT;
}

function isRow(value: unknown): value is Readonly<Record<string, number>> {
  return isRecordOf(value, isWeight);
}

/** Whether the value is an object whose fields are all accepted by `isEntry`. */
function isRecordOf<T>(
  value: unknown,
  isEntry: (entry: unknown) => entry is T,
): value is Readonly<Record<string, T>> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return false;
  return Object.values(value).every((entry) => isEntry(entry));
}
