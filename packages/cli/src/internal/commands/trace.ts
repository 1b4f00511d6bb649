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
  ...['from', 'queue', 'jobs', 'inTime', 'late', 'failed', 'cancelled', 'unfinished'],
  ...['waitP50Ms', 'waitP90Ms', 'waitP99Ms', 'runsPerTask'],
] as const;

const WAIT_COLUMNS = ['queue', 'keptBy', 'bindings', 'waitP50Ms', 'waitP90Ms', 'waitP99Ms'];

const STOP_COLUMNS = ['queue', 'reason', 'stops', 'lostCpuS'];

/** A line that is dated this much before one that caused it shows that clocks differ, in ms. */
const CLOCK_GAP_MS = 1_000;

interface Line {
  readonly at: string;
  readonly node: string;
  readonly event: string;
  readonly rest: string;
}

/** What the log files of several nodes say: of one id, or of the service that each queue had. */
export class Trace extends Command<z.infer<typeof schema>> {
  readonly usage = 'trace [id]';

  readonly summary = 'What the log files of several nodes say of an id, or of every queue';

  readonly examples = [
    ['trace 5c0e7a21d94b36f8 --file node1.log --file node2.log', 'A job and all its tasks'],
    ['trace --summary --file node1.log --window-s 60', 'Waits, late jobs and stops by minute'],
  ] as const;

  override readonly options = {
    file: {
      type: 'string',
      array: true,
      default: [],
      describe: 'A log file, once for each; standard input if there is none',
    },
    summary: { type: 'boolean', default: false, describe: 'Sum up by queue and window of time' },
    'window-s': { type: 'string', default: '10', describe: 'Length of a window, in seconds' },
    format: { type: 'string', default: 'table', describe: 'Of the summary: table or json' },
  } as const;

  readonly schema = schema;

  /** @throws InvalidInputError where a file cannot be read, or there is no line to sum up. */
  async run(settings: z.infer<typeof schema>, out: Output): Promise<void> {
    const { id, file, windowS, format } = settings;
    if (id !== undefined) await traceId(id, file, out);
    else await sumUp(file, windowS * 1_000, format === 'json' ? new Output(true) : out);
  }
}

async function traceId(id: string, files: readonly string[], out: Output): Promise<void> {
  const lines: Line[] = [];
  for await (const text of linesOf(files)) {
    if (text.includes(id) && text.includes('event=')) lines.push(parseLine(text));
  }
  lines.sort((a, b) => (a.at < b.at ? -1 : 1));
  out.value(lines);
  for (const [index, line] of lines.entries()) {
    const gapMs = index > 0 ? Date.parse(line.at) - Date.parse(lines[index - 1]!.at) : 0;
    if (gapMs > CLOCK_GAP_MS) out.line(`  ... ${(gapMs / 1_000).toFixed(1)} s ...`);
    out.line(`${line.at} ${line.node} ${line.event} ${line.rest}`);
  }
  if (lines.length === 0) out.line(`No line names ${id}.`);
}

async function sumUp(files: readonly string[], windowMs: number, out: Output): Promise<void> {
  const sums = new LogSummary(windowMs);
  for await (const line of linesOf(files)) sums.add(line);
  const summary = sums.summary();
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

async function* linesOf(files: readonly string[]): AsyncGenerator<string> {
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
