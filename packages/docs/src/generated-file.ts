/** A committed file that is generated from the code. */
export interface GeneratedFile {
  /** The path below the root of the repository. */
  readonly path: string;
  /** Gives the text before it is formatted. */
  readonly generate: () => string;
}

/** The first lines of a generated page. */
export function pageHeader(title: string, source: string): string {
  return `# ${title}\n\nGenerated from \`${source}\` by \`npm run docs\`; a test compares them.\n`;
}

/** A Markdown table. */
export function markdownTable(
  columns: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const line = (cells: readonly (string | number)[]) => `| ${cells.join(' | ')} |`;
  return [line(columns), line(columns.map(() => '---')), ...rows.map(line)].join('\n');
}
