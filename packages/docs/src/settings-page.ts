import { COMMANDS, COMMON_OPTIONS } from '@redwingcrank/cli';
import { NODE_OPTIONS } from '@redwingcrank/daemon';
import type { SettingOptions } from '@redwingcrank/ports';
import { environmentVariableOf } from '@redwingcrank/ports';
import type { GeneratedFile } from './generated-file.js';
import { markdownTable, pageHeader } from './generated-file.js';

const INTRODUCTION = `
Flags take precedence over variables, and variables over defaults. A list is comma-separated, and a
flag that takes a list may be repeated. All faults are listed at once, and a node with a fault does
not start. \`--print-config\` shows the settings in force and the source of each. Keys are never
printed; set them as variables, since every user of a host can see the flags of its processes.
`;

function defaultText(value: unknown): string {
  if (value === undefined) return 'required or unset';
  if (Array.isArray(value)) return value.join(',') || 'none';
  return String(value);
}

function settingsTable(options: SettingOptions): string {
  const rows = Object.entries(options).map(([flag, option]) => [
    `\`--${flag}\``,
    `\`${environmentVariableOf(flag)}\``,
    defaultText(option.default),
    `${option.describe}${option.secret ? ' (secret)' : ''}`,
  ]);
  return markdownTable(['Flag', 'Variable', 'Default', 'Meaning'], rows);
}

function commandSection({ usage, summary, options, examples }: (typeof COMMANDS)[number]): string {
  const lines = examples
    .map(([line, description]) => `# ${description}\nredwingcrank ${line}`)
    .join('\n');
  const optionTable = Object.keys(options).length > 0 ? `\n${settingsTable(options)}\n` : '';
  return `### ${usage}\n\n${summary}.\n\n\`\`\`sh\n${lines}\n\`\`\`\n${optionTable}`;
}

/** The page of all settings of both programs, and of all commands. */
export const settingsPage: GeneratedFile = {
  path: 'docs/SETTINGS.md',
  generate: () =>
    [
      pageHeader('Settings and commands', 'packages/daemon and packages/cli'),
      INTRODUCTION,
      `## redwingcrankd\n\n${settingsTable(NODE_OPTIONS)}\n`,
      `## redwingcrank, every command\n\n${settingsTable(COMMON_OPTIONS)}\n`,
      '## The commands\n',
      ...COMMANDS.map(commandSection),
    ].join('\n'),
};
