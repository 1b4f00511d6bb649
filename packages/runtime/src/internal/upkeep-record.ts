import type { StoredWaveProgress } from '@redwingcrank/jobs';
import type { Decoded, RecordFault } from '../record-fault.js';
import { parseObject } from './parse-object.js';

type CalledRow = StoredWaveProgress['called'][number];

export function encodeUpkeep(progress: StoredWaveProgress): string {
  return JSON.stringify(progress);
}

/** Decodes which machines of a wave were called, and which are done. */
export function decodeUpkeep(text: string): Decoded<StoredWaveProgress> {
  const rec = parseObject<StoredWaveProgress>(text);
  if (!rec) return { fault: { reason: 'unreadable', field: 'value' } };
  const { sinceMs, called, done, dropped } = rec;
  if (typeof sinceMs !== 'number' || !Number.isFinite(sinceMs)) return wrongType('sinceMs');
  if (!isListOf(called, isCalledRow)) return wrongType('called');
  if (!isListOf(done, isText)) return wrongType('done');
  if (!isListOf(dropped, isText)) return wrongType('dropped');
  return { value: { sinceMs, called, done, dropped } };
}

function wrongType(field: string): { readonly fault: RecordFault } {
  return { fault: { reason: 'wrong-type', field } };
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isCalledRow(value: unknown): value is CalledRow {
  if (!Array.isArray(value) || value.length !== 4) return false;
  return value.slice(0, 3).every(isText) && Number.isSafeInteger(value[3]);
}

function isListOf<T>(value: unknown, isEntry: (entry: unknown) => entry is T): value is T[] {
  return Array.isArray(value) && value.every((entry) => isEntry(entry));
}
