import type { JobState } from '../job.js';
import { MAX_OPEN_OCCURRENCES } from './occurrence-window.js';
import { PackedText, escapeText, unescapeText } from './packed-text.js';
import type { ProgressRecord, TaskTuple } from './progress-record.js';

const STATE_LETTERS: Readonly<Record<JobState, string>> = {
  queued: 'q',
  running: 'r',
  completed: 'c',
  failed: 'f',
  cancelled: 'x',
};

const STATES_BY_LETTER = new Map(
  Object.entries(STATE_LETTERS).map(([state, letter]) => [letter, state as JobState]),
);

/** Index of the phase `bound` in a record. */
const BOUND = 1;

const COUNT = /^(?:0|[1-9]\d{0,15})$/;

/** An occurrence of which no task was ever started. */
const UNSTARTED = /^\d+(?:\|w\d*)+$/;

/** Maximum number of tasks in a record; more would fill the memory of each node that reads it. */
const MAX_TASKS = 200_000;

/** Packs checkpoints, which have no common prefix. */
const CHECKPOINTS = new PackedText('');

const HEAD = /^([a-z])(\d+)(?::([\d.e+-]+))?$/;

const END = '!';

/** Whether a text is a compact record; earlier versions stored JSON. */
export function isCompact(text: string): boolean {
  return STATES_BY_LETTER.has(text.charAt(0));
}

/**
 * Encodes a progress record as compact text. Every node reads every record, and a job's record is
 * written anew with each change, so its size determines the load of the store and of the nodes'
 * links.
 *
 * The text is STATE OPENED [":" ENDED] ";" PREFIX, then for each open occurrence ";" NUMBER and for
 * each step "|" and its tasks, joined by ","; "!" ends it, so that a truncated record is recognised.
 * Consecutive tasks that were never started, or are done, are one entry with their count: `w5`, `d`.
 * Other tasks are `~WORKER` or `~WORKER.CHECKPOINT` for a first run that is bound, else
 * PHASE.RUN.FAILURES.WORKER.CHECKPOINT with the index of the phase, and `.CRASH_WEIGHT` if it has one;
 * a task with a copy is all of that, its crash weight also if it is 0, and `.RUN.WORKER` of the copy.
 * Workers that consist of the prefix and bytes in hexadecimal, and checkpoints of such bytes, are
 * `~` and the bytes in base64url; all other text is escaped.
 */
export function encodeCompact({ s, e, b, o }: ProgressRecord): string {
  const names = PackedText.of(namePrefix(o));
  const parts = [
    `${STATE_LETTERS[s]}${b}${e === undefined ? '' : `:${e}`}`,
    escapeText(names.prefix),
    ...o.map(([number, steps]) =>
      [number, ...steps.map((tasks) => [...encodeTasks(tasks, names)].join(','))].join('|'),
    ),
  ];
  return parts.join(';') + END;
}

/**
 * Decodes compact text of a job whose steps have up to `maxTasks` tasks and of which `maxOpen`
 * occurrences may be open; returns undefined for text that is malformed. Whether the record fits its
 * job is for the caller to check.
 */
export function decodeCompact(
  text: string,
  maxTasks: number,
  maxOpen = MAX_OPEN_OCCURRENCES,
): ProgressRecord | undefined {
  if (!text.endsWith(END)) return undefined;
  const [head, escapedPrefix, ...listed] = text.slice(0, -END.length).split(';');
  const [, letter, listedOpened, ended] = HEAD.exec(head!) ?? [];
  const s = letter === undefined ? undefined : STATES_BY_LETTER.get(letter);
  if (s === undefined || escapedPrefix === undefined) return undefined;
  const names = PackedText.of(unescapeText(escapedPrefix));
  const { occurrences, opened } = withoutUnstartedExcess(listed, Number(listedOpened), maxOpen);
  const o: ProgressRecord['o'] = [];
  let taskCount = 0;
  for (const occurrence of occurrences) {
    const [number, ...steps] = occurrence.split('|');
    const tasks = steps.map((step) => decodeTasks(step, names, maxTasks));
    if (!COUNT.test(number!) || !tasks.every((list) => list !== undefined)) return undefined;
    for (const { length } of tasks) taskCount += length;
    if (taskCount > MAX_TASKS) return undefined;
    o.push([Number(number), tasks]);
  }
  const e = ended === undefined ? {} : { e: Number(ended) };
  return { s, b: opened, ...e, o };
}

/**
 * Leaves out the last occurrences if more are listed than may be open and none of these was ever
 * started: they count as not yet opened. Earlier releases listed all that were due.
 */
function withoutUnstartedExcess(
  occurrences: readonly string[],
  opened: number,
  maxOpen: number,
): { occurrences: readonly string[]; opened: number } {
  if (occurrences.length <= maxOpen) return { occurrences, opened };
  const firstUnstarted = 1 + occurrences.findLastIndex((text) => !UNSTARTED.test(text));
  const kept = Math.max(firstUnstarted, maxOpen);
  const excess = occurrences.length - kept;
  // The occurrences were opened one after another, and none without a start has ended.
  const isContiguous = excess > 0 && occurrences[kept]!.startsWith(`${opened - excess}|`);
  return isContiguous
    ? { occurrences: occurrences.slice(0, kept), opened: opened - excess }
    : { occurrences, opened };
}

/** Returns the size of a checkpoint in a record. */
export function packedSizeOf(checkpoint: string): number {
  return CHECKPOINTS.pack(checkpoint).length;
}

/** Returns what the name of the first worker has before its bytes in hexadecimal. */
function namePrefix(occurrences: ProgressRecord['o']): string {
  for (const [, steps] of occurrences) {
    for (const tasks of steps) {
      for (const task of tasks) {
        if (typeof task === 'object') return PackedText.prefixOf(task[2]);
      }
    }
  }
  return '';
}

function* encodeTasks(tasks: readonly TaskTuple[], names: PackedText): Generator<string> {
  for (let i = 0; i < tasks.length;) {
    const task = tasks[i]!;
    if (typeof task === 'object') {
      yield encodeStarted(task, names);
      i += 1;
    } else {
      const from = i;
      while (tasks[i] === task) i += 1;
      const count = i - from;
      yield `${task === 0 ? 'w' : 'd'}${count > 1 ? count : ''}`;
    }
  }
}

function encodeStarted(task: Exclude<TaskTuple, number>, names: PackedText): string {
  const [phase, run, worker, failures, checkpoint, crashWeight, copyRun, copyWorker] = task;
  const name = names.pack(worker);
  const saved = checkpoint && CHECKPOINTS.pack(checkpoint);
  const started = [phase, run, failures, name, saved];
  if (copyRun !== undefined)
    return [...started, crashWeight, copyRun, names.pack(copyWorker!)].join('.');
  const isFirstRun = phase === BOUND && run === 1 && failures === 0 && !crashWeight;
  if (isFirstRun && PackedText.isPacked(name)) return saved ? `${name}.${saved}` : name;
  return [...started, ...(crashWeight ? [crashWeight] : [])].join('.');
}

/** Decodes the tasks of a step; returns undefined if any of them is malformed. */
function decodeTasks(text: string, names: PackedText, maxTasks: number): TaskTuple[] | undefined {
  const tasks: TaskTuple[] = [];
  if (text === '') return tasks;
  for (const entry of text.split(',')) {
    const first = entry.charAt(0);
    if (first === 'w' || first === 'd') {
      const count = entry.length > 1 ? entry.slice(1) : '1';
      if (!COUNT.test(count) || Number(count) > maxTasks) return undefined;
      for (let i = Number(count); i > 0; i -= 1) tasks.push(first === 'w' ? 0 : 1);
    } else {
      const task = PackedText.isPacked(entry)
        ? decodeFirstRun(entry, names)
        : decodeStarted(entry, names);
      if (!task) return undefined;
      tasks.push(task);
    }
    if (tasks.length > maxTasks) return undefined;
  }
  return tasks;
}

function decodeFirstRun(entry: string, names: PackedText): TaskTuple | undefined {
  const dot = entry.indexOf('.');
  const worker = names.unpack(dot < 0 ? entry : entry.slice(0, dot));
  const checkpoint = dot < 0 ? '' : CHECKPOINTS.unpack(entry.slice(dot + 1));
  if (worker === undefined || checkpoint === undefined) return undefined;
  return [BOUND, 1, worker, 0, checkpoint];
}

function decodeStarted(entry: string, names: PackedText): TaskTuple | undefined {
  const [phase, run, failures, name, saved, crashWeight, copyRun, copyName, ...rest] =
    entry.split('.');
  if (name === undefined || saved === undefined || rest.length > 0) return undefined;
  if (![phase, run, failures, crashWeight ?? '0', copyRun ?? '0'].every((n) => COUNT.test(n!)))
    return undefined;
  const worker = names.unpack(name);
  const checkpoint = CHECKPOINTS.unpack(saved);
  if (worker === undefined || checkpoint === undefined) return undefined;
  const task: TaskTuple = [Number(phase), Number(run), worker, Number(failures), checkpoint];
  if (crashWeight !== undefined) task.push(Number(crashWeight));
  if (copyRun === undefined) return task;
  const copyWorker = copyName === undefined ? undefined : names.unpack(copyName);
  if (copyWorker === undefined) return undefined;
  task.push(Number(copyRun), copyWorker);
  return task;
}
