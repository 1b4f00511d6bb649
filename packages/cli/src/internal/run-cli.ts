import yargs from 'yargs';
import type { Fault } from '@redwingcrank/protocol';
import { CodedError, InvalidInputError, faultsOf } from '@redwingcrank/protocol';
import type { SettingOptions } from '@redwingcrank/ports';
import { YARGS_PARSING, describeSettings, layerSettings, yargsOptions } from '@redwingcrank/ports';
import { COMMON_OPTIONS } from './cli-settings.js';
import type { Command } from './command.js';
import { Codes } from './commands/codes.js';
import { Hosts, Jobs, Tasks, Teams } from './commands/lists.js';
import { Cancel, Depth, State, Submit } from './commands/queue-jobs.js';
import { Evacuations } from './commands/evacuations.js';
import { Waves } from './commands/waves.js';
import { Publish } from './commands/publish.js';
import { Status } from './commands/status.js';
import { Timeline } from './commands/timeline.js';
import { Trace } from './commands/trace.js';
import { Validate } from './commands/validate.js';
import { Why } from './commands/why.js';
import { Output } from './output.js';

/** The exit codes of the process; docs/OPERATIONS.md has the same list. */
export const EXIT_CODES = {
  done: 0,
  refused: 1,
  usage: 2,
  unreachable: 3,
  notInForce: 4,
} as const;

type AnyCommand = Command;

/** All commands, in the order of the help text. */
export const COMMANDS: readonly AnyCommand[] = [
  new Validate(),
  new Publish(),
  new Status(),
  new Hosts(),
  new Tasks(),
  new Jobs(),
  new Teams(),
  new Submit(),
  new State(),
  new Cancel(),
  new Depth(),
  new Evacuations(),
  new Waves(),
  new Trace(),
  new Why(),
  new Timeline(),
  new Codes(),
] as readonly unknown[] as readonly AnyCommand[];

/**
 * Runs the operators' command line.
 *
 * @param argv - The arguments after the program's name.
 * @returns The exit code, one of {@link EXIT_CODES}.
 */
export async function runCli(argv: readonly string[]): Promise<number> {
  try {
    await parser(argv).parseAsync();
    return EXIT_CODES.done;
  } catch (err) {
    if (err instanceof CodedError) {
      process.stderr.write(`error ${err.result.code} ${err.result.name}\n${err.message}\n`);
      return exitCodeOf(err);
    }
    process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
    return EXIT_CODES.usage;
  }
}

function exitCodeOf({ result }: CodedError): number {
  switch (result.name) {
    case 'bad-settings':
      return EXIT_CODES.usage;
    case 'node-unreachable':
    case 'log-unavailable':
      return EXIT_CODES.unreachable;
    case 'not-in-force':
      return EXIT_CODES.notInForce;
    default:
      return EXIT_CODES.refused;
  }
}

function parser(argv: readonly string[]) {
  const top = yargs([...argv])
    .scriptName('redwingcrank')
    .usage(
      '$0 <command>\n\nEvery flag can be set by a variable: --log-url by REDWINGCRANK_LOG_URL.',
    )
    .parserConfiguration(YARGS_PARSING)
    .options(yargsOptions(COMMON_OPTIONS));
  for (const command of COMMANDS) {
    top.command(
      command.usage,
      command.summary,
      (y) => {
        command.positionals.forEach((name) => y.positional(name, { type: 'string' }));
        command.examples.forEach(([line, description]) => y.example(`$0 ${line}`, description));
        return y.options(yargsOptions(command.options));
      },
      (args) => runCommand(command, args),
    );
  }
  return top
    .completion(
      'completion',
      'Print a shell completion script: redwingcrank completion >> ~/.bashrc',
    )
    .epilogue('Exit codes: 0 done, 1 refused, 2 wrong usage, 3 unreachable, 4 not yet in force.')
    .demandCommand(1, 'A command is required; --help lists them.')
    .strictCommands()
    .exitProcess(false)
    .fail((message, err) => {
      throw err ?? new Error(message);
    });
}

async function runCommand(command: AnyCommand, args: Record<string, unknown>): Promise<void> {
  const options: SettingOptions = { ...COMMON_OPTIONS, ...command.options };
  const positionals = Object.fromEntries(command.positionals.map((name) => [name, args[name]]));
  const flags = Object.entries(args).filter(([name]) => !(name in positionals));
  const { layers, faults } = readLayers(options, Object.fromEntries(flags));
  const input = { ...layers.values, ...positionals };
  const reading = command.schema.safeParse(input);
  const allFaults = [...faults, ...(reading.success ? [] : faultsOf(reading.error, input))];
  if (!reading.success || allFaults.length > 0)
    throw new InvalidInputError('badSettings', allFaults);
  const out = new Output(reading.data.json);
  if (layers.values.printConfig === true) {
    [...describeSettings(options, layers)].forEach((line) => process.stdout.write(`${line}\n`));
    return;
  }
  await command.run(reading.data, out);
}

function readLayers(options: SettingOptions, args: Record<string, unknown>) {
  const layers = layerSettings({ options, args, env: process.env });
  // The environment may also hold the settings of a node, so unknown variables are no faults.
  const faults: Fault[] = layers.faults.filter(({ path }) => path === 'flags');
  return { layers, faults };
}
