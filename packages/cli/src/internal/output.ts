import { styleText } from 'node:util';
import Table from 'cli-table3';

/** Where output goes, and what that place can show. */
export interface OutputTarget {
  write(text: string): unknown;
  readonly isTTY?: boolean | undefined;
  readonly columns?: number | undefined;
}

/** The border on both sides of a cell and its padding. */
const CELL_MARGIN = 3;

const MIN_COLUMN = 6;

const GOOD = new Set(['ready', 'running', 'live', 'completed']);
const BAD = new Set(['unreachable', 'failed', 'gone', 'lapsed', 'never-fits']);

/** How a command prints: tables for a person, JSON for a script. */
export class Output {
  readonly #json: boolean;

  readonly #target: OutputTarget;

  readonly #colour: boolean;

  /**
   * @param json - Whether a script reads it.
   * @param target - Where it goes; a terminal gets colour unless NO_COLOR is set (no-color.org).
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

  /** Prints rows as a table for a person; a script that asked for JSON does not see it. */
  table(columns: readonly string[], rows: readonly object[]): void {
    if (this.#json) return;
    const cells = rows.map((row) => {
      const values = new Map(Object.entries(row));
      return columns.map((column) => cellOf(values.get(column)));
    });
    const colWidths = this.#widths([[...columns], ...cells]);
    const table = new Table({
      head: columns.map((column) => this.#style('bold', column)),
      style: { head: [], border: [], compact: true },
      ...(colWidths && { colWidths }),
    });
    for (const row of cells) table.push(row.map((cell) => this.#tint(cell)));
    this.#write(table.toString());
  }

  /** Prints a line for a person; a script that asked for JSON does not see it. */
  line(text: string): void {
    if (!this.#json) this.#write(text);
  }

  /** Prints one value for a script; a person does not see it. */
  value(value: unknown): void {
    if (this.#json) this.#write(JSON.stringify(value, undefined, 2));
  }

  /** Prints one value on one line for a script that reads a stream. */
  valueLine(value: unknown): void {
    if (this.#json) this.#write(JSON.stringify(value));
  }

  /** A pipe gets every cell whole; on a terminal the widest columns give way until all fit. */
  #widths(rows: readonly (readonly string[])[]): number[] | undefined {
    if (!this.#target.isTTY || this.#target.columns === undefined) return undefined;
    const count = rows[0]?.length ?? 0;
    const widths = Array.from({ length: count }, (_, i) =>
      Math.max(...rows.map((row) => row[i]?.length ?? 0)),
    );
    const room = this.#target.columns - 1 - count * CELL_MARGIN;
    let excess = widths.reduce((sum, width) => sum + width, 0) - room;
    while (excess > 0) {
      const widest = widths.indexOf(Math.max(...widths));
      if ((widths[widest] ?? 0) <= MIN_COLUMN) break;
      widths[widest] = (widths[widest] ?? 0) - 1;
      excess -= 1;
    }
    return widths.map((width) => width + CELL_MARGIN - 1);
  }

  #tint(cell: string): string {
    if (GOOD.has(cell)) return this.#style('green', cell);
    return BAD.has(cell) ? this.#style('red', cell) : cell;
  }

  #style(format: 'bold' | 'green' | 'red', text: string): string {
    // The target decides here, not the stream that the library would look at.
    return this.#colour ? styleText(format, text, { validateStream: false }) : text;
  }

  #write(text: string): void {
    this.#target.write(`${text}\n`);
  }
}

function cellOf(value: unknown): string {
  if (value === undefined || value === null) return '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Resources as a person reads them: cores, memory, and accelerators where there are any. */
export function formatResources(resources: {
  readonly cpu: number;
  readonly memoryMb: number;
  readonly accelerators?: number | undefined;
}): string {
  const { cpu, memoryMb, accelerators = 0 } = resources;
  const devices = accelerators > 0 ? ` ${accelerators} acc` : '';
  return `${Number(cpu.toFixed(2))} cpu ${Math.round(memoryMb)} MiB${devices}`;
}
