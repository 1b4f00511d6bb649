import type { z } from 'zod';
import type { SettingOptions } from '@redwingcrank/ports';
import { AdminClient } from './admin-client.js';
import { Cluster } from './cluster.js';
import type { commonSchema } from './cli-settings.js';
import type { Output } from './output.js';

/** The settings that every command has, whatever else its schema asks for. */
export type CommonSettings = z.infer<typeof commonSchema>;

/**
 * A command of the operators' command line: its usage, its settings and what it does.
 *
 * @typeParam S - Its checked settings, positional arguments included.
 */
export abstract class Command<S extends CommonSettings = CommonSettings> {
  /** The name with positional arguments, in the notation of yargs: `why <task>`. */
  abstract readonly usage: string;

  abstract readonly summary: string;

  /** Command lines without the program's name, each with what it does. */
  abstract readonly examples: readonly (readonly [string, string])[];

  /** Flags of this command alone. */
  readonly options: SettingOptions = {};

  /** Checks settings and positional arguments together. */
  abstract readonly schema: z.ZodType<S>;

  /** @throws CodedError where it is refused or fails. */
  abstract run(settings: S, out: Output): Promise<void>;

  /** The names of the positional arguments. */
  get positionals(): string[] {
    return [...this.usage.matchAll(/[<[](\w+)[\]>]/g)].map(([, name = '']) => name);
  }
}

/** The nodes that the settings name. */
export function clusterOf({ nodes, adminKeys }: CommonSettings): Cluster {
  return new Cluster(nodes.map((node) => new AdminClient(node, adminKeys)));
}
