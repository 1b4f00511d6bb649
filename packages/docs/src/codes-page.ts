import { RESULT_CODES } from '@redwingcrank/protocol';
import type { GeneratedFile } from './generated-file.js';
import { markdownTable, pageHeader } from './generated-file.js';

const GROUP_SIZE = 100;

const GROUP_TITLES: Readonly<Record<number, string>> = {
  1: '1xx: settings, command line, administration',
  2: '2xx: manifest',
  3: '3xx: request path',
  4: '4xx: platform',
  5: '5xx: scheduling',
};

const INTRODUCTION = `
A refusal on the request path is an \`application/problem+json\` body (RFC 9457) with \`code\` and
\`outcome\`: \`not-run\` (it did not run; sending it again is safe), \`unknown\` (it may have run)
or \`ran\`. The command line prints the code and the name, and ends with the exit code of
[OPERATIONS.md](OPERATIONS.md). A dash under HTTP means that the code is never sent over HTTP.
`;

/** The page of the numbered result codes. */
export const codesPage: GeneratedFile = {
  path: 'docs/CODES.md',
  generate: () => {
    const codes = Object.values(RESULT_CODES).sort((a, b) => a.code - b.code);
    const groups = [...new Set(codes.map(({ code }) => Math.floor(code / GROUP_SIZE)))];
    const sections = groups.map((group) => {
      const rows = codes
        .filter(({ code }) => Math.floor(code / GROUP_SIZE) === group)
        .map(({ code, name, status, summary, action }) => [
          code,
          `\`${name}\``,
          status || '-',
          summary,
          action,
        ]);
      const title = GROUP_TITLES[group] ?? `${group}xx`;
      const table = markdownTable(['Code', 'Name', 'HTTP', 'Meaning', 'What to do'], rows);
      return `## ${title}\n\n${table}\n`;
    });
    const head = pageHeader('Result codes', 'packages/protocol/src/result-codes.ts');
    return [head, INTRODUCTION, ...sections].join('\n');
  },
};
