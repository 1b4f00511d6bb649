import Table from 'cli-table3';

/** Prints rows of one shape as a table and, below it, as JSON. */
export function printRows<T extends object>(title: string, rows: readonly T[]): void {
  const [first] = rows;
  if (!first) return;
  const table = new Table({ head: Object.keys(first), style: { head: [], border: [] } });
  for (const row of rows) table.push(Object.values(row).map(cell));
  process.stdout.write(`${title}\n${table.toString()}\n${JSON.stringify(rows)}\n`);
}

function cell(value: unknown): string {
  if (typeof value !== 'number') return String(value);
  return Number.isInteger(value) ? String(value) : value.toFixed(2);
}
