import { COMMANDS, COMMON_OPTIONS } from '@redwingcrank/cli';
import { NODE_OPTIONS } from '@redwingcrank/daemon';
import type { SettingOptions } from '@redwingcrank/ports';
import { environmentVariableOf } from '@redwingcrank/ports';
import type { GeneratedFile } from './generated-file.js';
import { markdownTable, pageHeader } from './generated-file.js';

const INTRODUCTION = `
Flags go before variables, variables before defaults. A list is comma-separated, and a flag that
takes one may be repeated. All faults are listed at once, and a node with one does not start.
\`--print-config\` shows what is in force and where each value came from. Keys are never printed;
give them as variables, since the flags of a process can be seen by every user of its host.
`;

function fallbackOf(value: unknown): string {
  if (value === undefined) return 'required or unset';
  if (Array.isArray(value)) return value.join(',') || 'none';
  return String(value);
}

function table(options: SettingOptions): string {
  const rows = Object.entries(options).map(([flag, option]) => [
    `\`--${flag}\``,
    `\`${environmentVariableOf(flag)}\``,
    fallbackOf(option.default),
    `${option.describe}${option.secret ? ' (secret)' : ''}`,
  ]);
  return markdownTable(['Flag', 'Variable', 'Default', 'Meaning'], rows);
}

function commandSection({ usage, summary, options, examples }: (typeof COMMANDS)[number]): string {
  const lines = examples.map(([line, what]) => `# ${what}\nredwingcrank ${line}`).join('\n');
  const own = Object.keys(options).length > 0 ? `\n${table(options)}\n` : '';
  return `### ${usage}\n\n${summary}.\n\n\`\`\`sh\n${lines}\n\`\`\`\n${own}`;
}

/** Every setting of both programs, and every command. */
export const settingsPage: GeneratedFile = {
  path: 'docs/SETTINGS.md',
  generate: () =>
    [
      pageHeader('Settings and commands', 'packages/daemon and packages/cli'),
      INTRODUCTION,
      `## redwingcrankd\n\n${table(NODE_OPTIONS)}\n`,
      `## redwingcrank, every command\n\n${table(COMMON_OPTIONS)}\n`,
      '## The commands\n',
      ...COMMANDS.map(commandSection),
    ].join('\n'),
};
