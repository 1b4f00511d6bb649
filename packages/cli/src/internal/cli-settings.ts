import { z } from 'zod';
import type { SettingOptions } from '@redwingcrank/ports';

/** The options of every command. */
export const COMMON_OPTIONS = {
  json: { type: 'boolean', default: false, describe: 'Print JSON for scripts' },
  nodes: {
    type: 'string',
    array: true,
    default: [],
    describe: 'Administration addresses of the nodes, ip:port each',
  },
  'admin-keys': {
    type: 'string',
    array: true,
    default: [],
    secret: true,
    describe: 'Keys of operators, of which the first is sent; better set as a variable',
  },
  'log-url': { type: 'string', describe: "URL of the platform's log, for publish" },
  'print-config': {
    type: 'boolean',
    default: false,
    describe: 'Print the settings in force and the source of each, then exit',
  },
} as const satisfies SettingOptions;

/** The positional argument of commands that read a manifest. */
export const manifestPathSchema = z.string().min(1, 'the path of a manifest');

const address = z.string().regex(/^[\d.]+:\d+$/, 'ip:port');

/** The settings of commands that call no node. */
export const commonSchema = z.object({
  json: z.boolean(),
  nodes: z.array(address),
  adminKeys: z.array(z.string()),
  logUrl: z.url({ protocol: /^https?$/ }).optional(),
});

/** The settings of commands that call nodes. */
export const nodesSchema = commonSchema.extend({
  nodes: z.array(address).min(1, 'at least one node: --nodes or REDWINGCRANK_NODES'),
});
