/** A committed file that is generated from the code. */
export interface GeneratedFile {
  /** The path relative to the root of the repository. */
  readonly path: string;
  /** Returns the text of the file, not yet formatted. */
  readonly generate: () => string;
}

/** Returns the first lines of a generated page: its title and its source. */
export function pageHeader(title: string, source: string): string {
  return `# ${title}\n\nGenerated from \`${source}\` by \`npm run docs\`; a test compares them.\n`;
}

/** Returns a Markdown table. */
export function markdownTable(
  columns: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const line = (cells: readonly (string | number)[]) => `| ${cells.join(' | ')} |`;
  return [line(columns), line(columns.map(() => '---')), ...rows.map(line)].join('\n');
}
