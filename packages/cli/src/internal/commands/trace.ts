import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { InvalidInputError } from '@redwingcrank/protocol';
import logfmt from 'logfmt';
import { z } from 'zod';
import { commonSchema } from '../cli-settings.js';
import { Command } from '../command.js';
import { LogSummary } from '../log-summary.js';
import { Output } from '../output.js';

const schema = commonSchema
  .extend({
    id: z.string().min(1, 'a job, task or worker').optional(),
    file: z.array(z.string()),
    summary: z.boolean(),
    windowS: z.coerce.number().positive(),
    format: z.enum(['table', 'json']),
  })
  .refine(({ id, summary }) => summary !== (id !== undefined), {
    path: ['id'],
    message: 'either an id or --summary',
  });

const WINDOW_COLUMNS = [
  ...['from', 'queue', 'jobs', 'inTime', 'late', 'missed', 'failed', 'cancelled', 'unfinished'],
  ...['waitP50Ms', 'waitP90Ms', 'waitP99Ms', 'runsPerTask'],
] as const;

const WAIT_COLUMNS = ['queue', 'keptBy', 'bindings', 'waitP50Ms', 'waitP90Ms', 'waitP99Ms'];

const STOP_COLUMNS = ['queue', 'reason', 'stops', 'lostCpuS'];

/** A gap between two lines that is longer than this is shown in the output, in milliseconds. */
const MIN_SHOWN_GAP_MS = 1_000;

interface Line {
  readonly at: string;
  readonly node: string;
  readonly event: string;
  readonly rest: string;
}

/** Prints the lines of one id from the log files of several nodes, or a summary of each queue. */
export class Trace extends Command<z.infer<typeof schema>> {
  readonly usage = 'trace [id]';

  readonly summary = 'The log lines of several nodes about an id, or a summary by queue';

  readonly examples = [
    ['trace 5c0e7a21d94b36f8 --file node1.log --file node2.log', 'A job and all its tasks'],
    ['trace --summary --file node1.log --window-s 60', 'Waits, late jobs and stops by minute'],
  ] as const;

  override readonly options = {
    file: {
      type: 'string',
      array: true,
      default: [],
      describe: 'A log file, may be repeated; standard input if not given',
    },
    summary: { type: 'boolean', default: false, describe: 'Summarise by queue and time window' },
    'window-s': { type: 'string', default: '10', describe: 'Length of a window, in seconds' },
    format: { type: 'string', default: 'table', describe: 'Format of the summary: table or json' },
  } as const;

  readonly schema = schema;

  /** @throws InvalidInputError if a file cannot be read, or there is no line to summarise. */
  async run(settings: z.infer<typeof schema>, out: Output): Promise<void> {
    const { id, file, windowS, format } = settings;
    if (id !== undefined) await printTrace(id, file, out);
    else await printSummary(file, windowS * 1_000, format === 'json' ? new Output(true) : out);
  }
}

async function printTrace(id: string, files: readonly string[], out: Output): Promise<void> {
  const lines: Line[] = [];
  for await (const text of readLines(files)) {
    if (text.includes(id) && text.includes('event=')) lines.push(parseLine(text));
  }
  lines.sort((a, b) => (a.at < b.at ? -1 : 1));
  out.value(lines);
  for (const [index, line] of lines.entries()) {
    const gapMs = index > 0 ? Date.parse(line.at) - Date.parse(lines[index - 1]!.at) : 0;
    if (gapMs > MIN_SHOWN_GAP_MS) out.line(`  ... ${(gapMs / 1_000).toFixed(1)} s ...`);
    out.line(`${line.at} ${line.node} ${line.event} ${line.rest}`);
  }
  if (lines.length === 0) out.line(`No line contains ${id}.`);
}

async function printSummary(
  files: readonly string[],
  windowMs: number,
  out: Output,
): Promise<void> {
  const logSummary = new LogSummary(windowMs);
  for await (const line of readLines(files)) logSummary.add(line);
  const summary = logSummary.summary();
  if (summary.lines === 0) {
    const path = files.join(', ') || 'standard input';
    throw new InvalidInputError('badSettings', [{ path, expected: 'log lines', found: 'none' }]);
  }
  out.value(summary);
  out.table(WINDOW_COLUMNS, summary.windows);
  out.table(WAIT_COLUMNS, summary.waits);
  out.table(STOP_COLUMNS, summary.stops);
  out.line(`${summary.lines} lines, ${summary.skipped} skipped`);
}

async function* readLines(files: readonly string[]): AsyncGenerator<string> {
  if (files.length === 0 && process.stdin.isTTY) {
    const missing = { path: 'file', expected: 'the log files of the nodes', found: 'none' };
    throw new InvalidInputError('badSettings', [missing]);
  }
  if (files.length === 0) yield* createInterface({ input: process.stdin });
  for (const path of files) {
    try {
      yield* createInterface({ input: createReadStream(path) });
    } catch (err) {
      const found = (err as Error).message;
      throw new InvalidInputError('badSettings', [{ path, expected: 'a readable file', found }]);
    }
  }
}

function parseLine(text: string): Line {
  const { at = '', node = '', event = '', level: _level, ...rest } = logfmt.parse(text);
  return { at, node, event, rest: logfmt.stringify(rest) };
}
