import type { Fault } from '@redwingcrank/protocol';

/** Where the value of a setting came from. */
export type SettingSource = 'flag' | 'variable' | 'default' | 'unset';

/** One setting as a flag of yargs and as a variable. */
export interface SettingOption {
  readonly type: 'string' | 'number' | 'boolean';
  readonly array?: boolean;
  readonly default?: unknown;
  readonly describe: string;
  /** Never printed. */
  readonly secret?: boolean;
}

export type SettingOptions = Readonly<Record<string, SettingOption>>;

/** The settings as they came, before a schema has checked them. */
export interface LayeredSettings {
  /** By name in camel case. */
  readonly values: Readonly<Record<string, unknown>>;
  /** By name in kebab case. */
  readonly sources: Readonly<Record<string, SettingSource>>;
  readonly faults: readonly Fault[];
}

export interface LayerInput {
  readonly options: SettingOptions;
  /** What yargs parsed, without camel-case copies. */
  readonly args: Readonly<Record<string, unknown>>;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Variables of the other program, which one environment may hold as well. */
  readonly otherVariables?: readonly string[];
}

/** What yargs needs so that an unknown or doubled flag shows as it was written. */
export const YARGS_PARSING = {
  'camel-case-expansion': false,
  'dot-notation': false,
  'boolean-negation': false,
} as const;

const PREFIX = 'REDWINGCRANK_';

/** Keys that yargs itself puts among the arguments. */
const YARGS_KEYS = new Set(['_', '$0', 'help', 'version']);

/** The name of the variable for a flag. */
export function environmentVariableOf(flag: string): string {
  return PREFIX + flag.toUpperCase().replaceAll('-', '_');
}

function camelCase(flag: string): string {
  return flag.replaceAll(/-(\w)/g, (_, letter: string) => letter.toUpperCase());
}

/** Lists are comma-separated: a variable has no other way to hold one. */
function splitList(parts: readonly unknown[]): string[] {
  return parts
    .flatMap((part) => String(part).split(','))
    .map((part) => part.trim())
    .filter((part) => part !== '');
}

function fromVariable(option: SettingOption, text: string): unknown {
  if (option.array) return splitList([text]);
  if (option.type === 'number') return text.trim() === '' ? NaN : Number(text);
  if (option.type === 'boolean' && (text === 'true' || text === 'false')) return text === 'true';
  return text;
}

function valueOf(
  flag: string,
  option: SettingOption,
  { args, env }: LayerInput,
): [unknown, SettingSource] {
  const given = args[flag];
  if (given !== undefined) {
    return [option.array && Array.isArray(given) ? splitList(given) : given, 'flag'];
  }
  const text = env[environmentVariableOf(flag)];
  if (text !== undefined) return [fromVariable(option, text), 'variable'];
  return [option.default, option.default === undefined ? 'unset' : 'default'];
}

function unknownFlags({ options, args }: LayerInput): Fault[] {
  const strange = Object.keys(args).filter((key) => !YARGS_KEYS.has(key) && !(key in options));
  return strange.map((key) => ({ path: 'flags', expected: 'known flags', found: `--${key}` }));
}

function unknownVariables({ options, env, otherVariables = [] }: LayerInput): Fault[] {
  const known = new Set([...Object.keys(options).map(environmentVariableOf), ...otherVariables]);
  const strange = Object.keys(env).filter((name) => name.startsWith(PREFIX) && !known.has(name));
  return strange.map((name) => ({ path: 'variables', expected: 'known variables', found: name }));
}

/** Puts flags over variables over defaults, and tells what was in neither list. */
export function layerSettings(input: LayerInput): LayeredSettings {
  const values: Record<string, unknown> = {};
  const sources: Record<string, SettingSource> = {};
  for (const [flag, option] of Object.entries(input.options)) {
    const [value, source] = valueOf(flag, option, input);
    if (value !== undefined) values[camelCase(flag)] = value;
    sources[flag] = source;
  }
  return { values, sources, faults: [...unknownFlags(input), ...unknownVariables(input)] };
}

function shown(option: SettingOption, value: unknown): string {
  if (value === undefined) return '(none)';
  if (option.secret) return `(${Array.isArray(value) ? value.length : 1} hidden)`;
  return Array.isArray(value) ? value.join(',') : String(value);
}

/** One line for each setting: its name, what is in force and where that came from. */
export function* describeSettings(
  options: SettingOptions,
  { values, sources }: LayeredSettings,
): Generator<string, void> {
  for (const [flag, option] of Object.entries(options)) {
    const source = sources[flag] === 'variable' ? environmentVariableOf(flag) : sources[flag];
    yield `${flag}=${shown(option, values[camelCase(flag)])} (${source})`;
  }
}

/** The options as yargs takes them: defaults are only told, so that their source stays known. */
export function yargsOptions(options: SettingOptions): Record<string, object> {
  return Object.fromEntries(
    Object.entries(options).map(([flag, option]) => {
      const { type, array, describe } = option;
      const fallback = option.default === undefined ? '' : String(option.default) || 'none';
      const told = fallback === '' ? {} : { defaultDescription: fallback };
      return [flag, { type, describe, ...told, ...(array && { array, nargs: 1 }) }];
    }),
  );
}
