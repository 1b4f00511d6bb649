import type { z } from 'zod';
import type { SettingOptions } from '@redwingcrank/ports';
import { AdminClient } from './admin-client.js';
import { Cluster } from './cluster.js';
import type { commonSchema } from './cli-settings.js';
import type { Output } from './output.js';

/** The settings that every command has, in addition to those of its own schema. */
export type CommonSettings = z.infer<typeof commonSchema>;

/**
 * A command of the operators' command line: its usage, its settings and its implementation.
 *
 * @typeParam S - The validated settings, including the positional arguments.
 */
export abstract class Command<S extends CommonSettings = CommonSettings> {
  /** The name with positional arguments, in the notation of yargs: `why <task>`. */
  abstract readonly usage: string;

  abstract readonly summary: string;

  /** Example command lines without the program's name, each with a description. */
  abstract readonly examples: readonly (readonly [string, string])[];

  /** The flags that only this command has. */
  readonly options: SettingOptions = {};

  /** The schema of the settings and positional arguments together. */
  abstract readonly schema: z.ZodType<S>;

  /**
   * Runs the command.
   *
   * @throws CodedError if the request is refused or fails.
   */
  abstract run(settings: S, out: Output): Promise<void>;

  /** The names of the positional arguments, in the order of the usage. */
  get positionals(): string[] {
    return [...this.usage.matchAll(/[<[](\w+)[\]>]/g)].map(([, name = '']) => name);
  }
}

/** Creates the clients of the nodes that the settings name. */
export function clusterOf({ nodes, adminKeys }: CommonSettings): Cluster {
  return new Cluster(nodes.map((node) => new AdminClient(node, adminKeys)));
}
