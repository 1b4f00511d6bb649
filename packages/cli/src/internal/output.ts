import { styleText } from 'node:util';
import Table from 'cli-table3';

/** The destination of the output; a terminal also has its width in characters. */
export interface OutputTarget {
  write(text: string): unknown;
  readonly isTTY?: boolean | undefined;
  readonly columns?: number | undefined;
}

/** Characters that a column takes besides its text: one border, and padding on both sides. */
const CELL_MARGIN = 3;

const MIN_COLUMN_WIDTH = 6;

const GREEN_VALUES = new Set(['ready', 'running', 'live', 'completed']);
const RED_VALUES = new Set(['unreachable', 'failed', 'gone', 'lapsed', 'never-fits']);

/** Prints the results of a command as text and tables for a person, or as JSON for a script. */
export class Output {
  readonly #json: boolean;

  readonly #target: OutputTarget;

  readonly #colour: boolean;

  /**
   * @param json - Whether to print JSON.
   * @param target - The destination; a terminal gets colour unless NO_COLOR is set (no-color.org).
   */
  constructor(json: boolean, target: OutputTarget = process.stdout, env = process.env) {
    this.#json = json;
    this.#target = target;
    this.#colour = target.isTTY === true && !env.NO_COLOR;
  }

  /** Prints rows as a table that fits the terminal, or as one JSON array. */
  rows(columns: readonly string[], rows: readonly Record<string, unknown>[]): void {
    if (this.#json) this.value(rows);
    else this.table(columns, rows);
  }

  /** Prints rows as a table; prints nothing in JSON mode. */
  table(columns: readonly string[], rows: readonly object[]): void {
    if (this.#json) return;
    const cells = rows.map((row) => {
      const values = new Map(Object.entries(row));
      return columns.map((column) => formatCell(values.get(column)));
    });
    const colWidths = this.#widths([[...columns], ...cells]);
    const table = new Table({
      head: columns.map((column) => this.#style('bold', column)),
      style: { head: [], border: [], compact: true },
      ...(colWidths && { colWidths }),
    });
    for (const row of cells) table.push(row.map((cell) => this.#colourCell(cell)));
    this.#write(table.toString());
  }

  /** Prints a line of text; prints nothing in JSON mode. */
  line(text: string): void {
    if (!this.#json) this.#write(text);
  }

  /** Prints one value as indented JSON; prints nothing in text mode. */
  value(value: unknown): void {
    if (this.#json) this.#write(JSON.stringify(value, undefined, 2));
  }

  /** Prints one value as one line of JSON, for a stream; prints nothing in text mode. */
  valueLine(value: unknown): void {
    if (this.#json) this.#write(JSON.stringify(value));
  }

  /**
   * Returns the column widths that fit the terminal, narrowing the widest column first, or
   * undefined for a pipe, which gets every cell in full.
   */
  #widths(rows: readonly (readonly string[])[]): number[] | undefined {
    if (!this.#target.isTTY || this.#target.columns === undefined) return undefined;
    const count = rows[0]?.length ?? 0;
    const widths = Array.from({ length: count }, (_, i) =>
      Math.max(...rows.map((row) => row[i]?.length ?? 0)),
    );
    const available = this.#target.columns - 1 - count * CELL_MARGIN;
    let excess = widths.reduce((sum, width) => sum + width, 0) - available;
    while (excess > 0) {
      const widest = widths.indexOf(Math.max(...widths));
      if ((widths[widest] ?? 0) <= MIN_COLUMN_WIDTH) break;
      widths[widest] = (widths[widest] ?? 0) - 1;
      excess -= 1;
    }
    return widths.map((width) => width + CELL_MARGIN - 1);
  }

  #colourCell(cell: string): string {
    if (GREEN_VALUES.has(cell)) return this.#style('green', cell);
    return RED_VALUES.has(cell) ? this.#style('red', cell) : cell;
  }

  #style(format: 'bold' | 'green' | 'red', text: string): string {
    // Whether to colour depends on the target, not on the stream that the library would check.
    return this.#colour ? styleText(format, text, { validateStream: false }) : text;
  }

  #write(text: string): void {
    this.#target.write(`${text}\n`);
  }
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Formats resources for a person: cores, memory, and accelerators if there are any. */
export function formatResources(resources: {
  readonly cpu: number;
  readonly memoryMb: number;
  readonly accelerators?: number | undefined;
}): string {
  const { cpu, memoryMb, accelerators = 0 } = resources;
  const devices = accelerators > 0 ? ` ${accelerators} acc` : '';
  return `${Number(cpu.toFixed(2))} cpu ${Math.round(memoryMb)} MiB${devices}`;
}
