import { readFile } from 'node:fs/promises';
import logfmt from 'logfmt';
import { z } from 'zod';
import { commonSchema } from '../cli-settings.js';
import { Command } from '../command.js';
import type { Output } from '../output.js';

const schema = commonSchema.extend({
  id: z.string().min(1, 'a job, task or worker'),
  file: z.array(z.string()).min(1, 'the log files of the nodes, --file each'),
});

/** A line that is dated this much before one that caused it shows that clocks differ, in ms. */
const CLOCK_GAP_MS = 1_000;

interface Line {
  readonly at: string;
  readonly node: string;
  readonly event: string;
  readonly rest: string;
}

/** One time line for an id, from the log files of several nodes. */
export class Trace extends Command<z.infer<typeof schema>> {
  readonly usage = 'trace <id>';

  readonly summary = 'Everything that the log files of several nodes say of an id';

  readonly examples = [
    ['trace 5c0e7a21d94b36f8 --file node1.log --file node2.log', 'A job and all its tasks'],
  ] as const;

  override readonly options = {
    file: { type: 'string', array: true, default: [], describe: 'A log file; once for each' },
  } as const;

  readonly schema = schema;

  async run({ id, file }: z.infer<typeof schema>, out: Output): Promise<void> {
    const lines: Line[] = [];
    for (const name of file) lines.push(...linesOf(await readFile(name, 'utf8'), id));
    lines.sort((a, b) => (a.at < b.at ? -1 : 1));
    out.value(lines);
    for (const [index, line] of lines.entries()) {
      const gapMs = index > 0 ? Date.parse(line.at) - Date.parse(lines[index - 1]!.at) : 0;
      if (gapMs > CLOCK_GAP_MS) out.line(`  ... ${(gapMs / 1_000).toFixed(1)} s ...`);
      out.line(`${line.at} ${line.node} ${line.event} ${line.rest}`);
    }
    if (lines.length === 0) out.line(`No line names ${id}.`);
  }
}

function* linesOf(text: string, id: string): Generator<Line> {
  for (const line of text.split('\n')) {
    if (line.includes(id) && line.includes('event=')) {
      const { at = '', node = '', event = '', level: _level, ...rest } = logfmt.parse(line);
      yield { at, node, event, rest: logfmt.stringify(rest) };
    }
  }
}
