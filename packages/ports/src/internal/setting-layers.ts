import type { Fault } from '@redwingcrank/protocol';

/** The layer that gave a setting its value. */
export type SettingSource = 'flag' | 'variable' | 'default' | 'unset';

/** One setting, which can be given as a yargs flag or as an environment variable. */
export interface SettingOption {
  readonly type: 'string' | 'number' | 'boolean';
  readonly array?: boolean;
  readonly default?: unknown;
  readonly describe: string;
  /** Whether the value must never be printed. */
  readonly secret?: boolean;
}

export type SettingOptions = Readonly<Record<string, SettingOption>>;

/** The settings merged from all layers, before validation by a schema. */
export interface LayeredSettings {
  /** The values by setting name in camel case. */
  readonly values: Readonly<Record<string, unknown>>;
  /** The sources by setting name in kebab case. */
  readonly sources: Readonly<Record<string, SettingSource>>;
  readonly faults: readonly Fault[];
}

/** The known settings and the layers that may set them. */
export interface LayerInput {
  readonly options: SettingOptions;
  /** The arguments parsed by yargs, without camel-case copies. */
  readonly args: Readonly<Record<string, unknown>>;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Variables of the other program, which may be set in the same environment. */
  readonly otherVariables?: readonly string[];
}

/** The yargs configuration that preserves unknown and repeated flags as they were written. */
export const YARGS_PARSING = {
  'camel-case-expansion': false,
  'dot-notation': false,
  'boolean-negation': false,
} as const;

const PREFIX = 'REDWINGCRANK_';

/** Keys that yargs itself adds to the arguments. */
const YARGS_KEYS = new Set(['_', '$0', 'help', 'version']);

/** Returns the name of the environment variable for a flag. */
export function environmentVariableOf(flag: string): string {
  return PREFIX + flag.toUpperCase().replaceAll('-', '_');
}

function camelCase(flag: string): string {
  return flag.replaceAll(/-(\w)/g, (_, letter: string) => letter.toUpperCase());
}

/** Splits comma-separated lists, since an environment variable cannot hold more than one value. */
function splitList(parts: readonly unknown[]): string[] {
  return parts
    .flatMap((part) => String(part).split(','))
    .map((part) => part.trim())
    .filter((part) => part !== '');
}

function parseVariable(option: SettingOption, text: string): unknown {
  if (option.array) return splitList([text]);
  if (option.type === 'number') return text.trim() === '' ? NaN : Number(text);
  if (option.type === 'boolean' && (text === 'true' || text === 'false')) return text === 'true';
  return text;
}

function resolveSetting(
  flag: string,
  option: SettingOption,
  { args, env }: LayerInput,
): [unknown, SettingSource] {
  const flagValue = args[flag];
  if (flagValue !== undefined) {
    return [option.array && Array.isArray(flagValue) ? splitList(flagValue) : flagValue, 'flag'];
  }
  const text = env[environmentVariableOf(flag)];
  if (text !== undefined) return [parseVariable(option, text), 'variable'];
  return [option.default, option.default === undefined ? 'unset' : 'default'];
}

function unknownFlags({ options, args }: LayerInput): Fault[] {
  const unknownNames = Object.keys(args).filter((key) => !YARGS_KEYS.has(key) && !(key in options));
  return unknownNames.map((key) => ({ path: 'flags', expected: 'known flags', found: `--${key}` }));
}

function unknownVariables({ options, env, otherVariables = [] }: LayerInput): Fault[] {
  const known = new Set([...Object.keys(options).map(environmentVariableOf), ...otherVariables]);
  const unknownNames = Object.keys(env).filter(
    (name) => name.startsWith(PREFIX) && !known.has(name),
  );
  return unknownNames.map((name) => ({
    path: 'variables',
    expected: 'known variables',
    found: name,
  }));
}

/**
 * Merges the layers of settings: flags override environment variables, which override defaults.
 * Reports unknown flags and unknown variables as faults.
 */
export function layerSettings(input: LayerInput): LayeredSettings {
  const values: Record<string, unknown> = {};
  const sources: Record<string, SettingSource> = {};
  for (const [flag, option] of Object.entries(input.options)) {
    const [value, source] = resolveSetting(flag, option, input);
    if (value !== undefined) values[camelCase(flag)] = value;
    sources[flag] = source;
  }
  return { values, sources, faults: [...unknownFlags(input), ...unknownVariables(input)] };
}

function formatValue(option: SettingOption, value: unknown): string {
  if (value === undefined) return '(none)';
  if (option.secret) return `(${Array.isArray(value) ? value.length : 1} hidden)`;
  return Array.isArray(value) ? value.join(',') : String(value);
}

/** Yields one line for each setting with its name, its value in force and the value's source. */
export function* describeSettings(
  options: SettingOptions,
  { values, sources }: LayeredSettings,
): Generator<string, void> {
  for (const [flag, option] of Object.entries(options)) {
    const source = sources[flag] === 'variable' ? environmentVariableOf(flag) : sources[flag];
    yield `${flag}=${formatValue(option, values[camelCase(flag)])} (${source})`;
  }
}

/**
 * Converts the options to those of yargs. A default is passed only as a description, so that values
 * from flags remain distinguishable from defaults.
 */
export function yargsOptions(options: SettingOptions): Record<string, object> {
  return Object.fromEntries(
    Object.entries(options).map(([flag, option]) => {
      const { type, array, describe } = option;
      const defaultText = option.default === undefined ? '' : String(option.default) || 'none';
      const description = defaultText === '' ? {} : { defaultDescription: defaultText };
      return [flag, { type, describe, ...description, ...(array && { array, nargs: 1 }) }];
    }),
  );
}
