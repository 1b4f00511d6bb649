import { z } from 'zod';
import type { SettingOptions } from '@redwingcrank/ports';

/** What every command takes. */
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
    describe: 'Keys of operators, better as a variable: the first is sent',
  },
  'log-url': { type: 'string', describe: "The platform's log, for publish" },
  'print-config': {
    type: 'boolean',
    default: false,
    describe: 'Print what is in force and where it came from, and end',
  },
} as const satisfies SettingOptions;

/** Further options that more than one command takes. */
export const manifestPathSchema = z.string().min(1, 'the path of a manifest');

const address = z.string().regex(/^[\d.]+:\d+$/, 'ip:port');

/** Settings of commands that ask no node. */
export const commonSchema = z.object({
  json: z.boolean(),
  nodes: z.array(address),
  adminKeys: z.array(z.string()),
  logUrl: z.url({ protocol: /^https?$/ }).optional(),
});

/** Settings of commands that ask nodes. */
export const nodesSchema = commonSchema.extend({
  nodes: z.array(address).min(1, 'at least one node: --nodes or REDWINGCRANK_NODES'),
});
