import yargs from 'yargs';
import { z } from 'zod';
import { InvalidInputError, faultsOf } from '@redwingcrank/protocol';
import type { LayeredSettings, SettingOptions } from '@redwingcrank/ports';
import {
  YARGS_PARSING,
  describeSettings,
  layerSettings,
  environmentVariableOf,
  yargsOptions,
} from '@redwingcrank/ports';

export const ROLES = ['entry', 'scheduler'] as const;

export const PICKERS = ['least-time', 'two-choices', 'round-robin', 'random'] as const;

export type Role = (typeof ROLES)[number];

/** Another node: `id@dataCentre=ip:port`, with the port of its peer listener. */
export interface PeerSetting {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly address: string;
}

const PEER_PATTERN = /^([\w-]+)@([\w-]+)=([\d.]+:\d+)$/;

const peerSchema = z
  .string()
  .regex(PEER_PATTERN, 'id@dataCentre=ip:port')
  .transform((text): PeerSetting => {
    const [, nodeId = '', dataCentre = '', address = ''] = PEER_PATTERN.exec(text) ?? [];
    return { nodeId, dataCentre, address };
  });

/** Shorter keys could be guessed. */
const MIN_KEY_LENGTH = 16;

const keysSchema = z.array(
  z.string().min(MIN_KEY_LENGTH, `keys of ${MIN_KEY_LENGTH} characters or more`),
);

const portSchema = z.int().min(0).max(65_535);

const settingsSchema = z.object({
  nodeId: z.string().regex(/^[\w-]+$/, 'letters, digits, dashes'),
  dataCentre: z.string().regex(/^[a-z0-9-]+$/, 'lower-case letters, digits, dashes'),
  roles: z.array(z.enum(ROLES)).min(1),
  ip: z.ipv4(),
  callerPort: portSchema,
  peerPort: portSchema,
  adminPort: portSchema,
  logUrl: z.url({ protocol: /^https?$/ }),
  hostListUrl: z.url({ protocol: /^https?$/ }),
  peers: z.array(peerSchema),
  leaseMs: z.int().min(500).max(3_600_000),
  staleMs: z.int().min(2_000).max(3_600_000),
  platformTimeoutMs: z.int().min(50).max(60_000),
  logRetentionMs: z
    .int()
    .min(1_000)
    .max(31 * 86_400_000),
  hostListPollMs: z.int().min(50).max(60_000),
  hostListConfirmMs: z.int().min(0).max(3_600_000),
  helloMs: z.int().min(20).max(60_000),
  peerSilenceMs: z.int().min(100).max(600_000),
  drainMs: z.int().min(0).max(600_000),
  picker: z.enum(PICKERS),
  drainNoticeMs: z.int().min(0).max(600_000),
  drainIdleMs: z.int().min(0).max(600_000),
  entryHosts: z.array(z.string()),
  keyWindowMs: z.int().min(1_000).max(86_400_000),
  seed: z.int(),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']),
  peerKeys: keysSchema,
  adminKeys: keysSchema,
  printConfig: z.boolean(),
});

const LOOPBACK = /^127\./;

/** Requires keys beyond loopback, where the whole network can reach the peer and admin ports. */
const checkedSchema = settingsSchema.superRefine((settings, ctx) => {
  if (LOOPBACK.test(settings.ip)) return;
  for (const path of ['peerKeys', 'adminKeys'] as const) {
    if (settings[path].length === 0) {
      const message = `a key, because ${settings.ip} is not a loopback address`;
      ctx.addIssue({ code: 'custom', path: [path], message });
    }
  }
});

export type Settings = z.infer<typeof settingsSchema>;

/** All settings of a node, available as flags and as REDWINGCRANK_* variables. */
export const NODE_OPTIONS = {
  'node-id': { type: 'string', describe: 'The name of this node, unique among all nodes' },
  'data-centre': { type: 'string', describe: 'The data centre of this node' },
  roles: {
    type: 'string',
    array: true,
    default: [...ROLES],
    describe: 'The roles of this node: entry, scheduler',
  },
  ip: { type: 'string', default: '127.0.0.1', describe: 'The address to listen on' },
  'caller-port': {
    type: 'number',
    default: 0,
    describe: 'The port for callers; 0 picks a free port',
  },
  'peer-port': {
    type: 'number',
    default: 0,
    describe: 'The port for other nodes; 0 picks a free port',
  },
  'admin-port': {
    type: 'number',
    default: 0,
    describe: 'The port for operators; 0 picks a free port',
  },
  'log-url': { type: 'string', describe: "The URL of the platform's log" },
  'host-list-url': { type: 'string', describe: "The URL of the platform's host list" },
  peers: {
    type: 'string',
    array: true,
    default: [],
    describe: 'The other nodes, each as id@dataCentre=ip:port',
  },
  'lease-ms': { type: 'number', default: 10_000, describe: 'The duration of a lease' },
  'stale-ms': {
    type: 'number',
    default: 30_000,
    describe:
      'After this time without the log, a node no longer renews tasks whose lease may expire',
  },
  'platform-timeout-ms': {
    type: 'number',
    default: 2_000,
    describe: 'The time limit for an answer of the platform',
  },
  'log-retention-ms': {
    type: 'number',
    default: 3_600_000,
    describe: 'How long the log keeps records',
  },
  'host-list-poll-ms': {
    type: 'number',
    default: 1_000,
    describe: 'The time between two polls of the host list',
  },
  'host-list-confirm-ms': {
    type: 'number',
    default: 30_000,
    describe: 'How long hosts that vanish in large numbers must stay away to count as removed',
  },
  'hello-ms': {
    type: 'number',
    default: 500,
    describe: 'The time between two exchanges with a peer',
  },
  'peer-silence-ms': {
    type: 'number',
    default: 3_000,
    describe: 'The time after which a peer that was not heard counts as silent',
  },
  'drain-ms': {
    type: 'number',
    default: 30_000,
    describe: 'The longest wait for open requests at shutdown',
  },
  picker: {
    type: 'string',
    default: 'least-time',
    describe: `The strategy that picks endpoints: ${PICKERS.join(', ')}`,
  },
  'drain-notice-ms': {
    type: 'number',
    default: 500,
    describe: 'The time for the load balancer to notice that the node is not ready',
  },
  'drain-idle-ms': {
    type: 'number',
    default: 1_000,
    describe: 'How long idle connections of callers stay open at shutdown',
  },
  'entry-hosts': {
    type: 'string',
    array: true,
    default: [],
    describe: 'The ids of all nodes with role entry; every node if omitted',
  },
  'key-window-ms': {
    type: 'number',
    default: 600_000,
    describe: 'How long callers may repeat an idempotency key',
  },
  seed: { type: 'number', default: 1, describe: 'The seed of random choices' },
  'log-level': {
    type: 'string',
    default: 'info',
    describe: 'The log level: trace, debug, info, warn, error or silent',
  },
  'peer-keys': {
    type: 'string',
    array: true,
    default: [],
    secret: true,
    describe: 'Shared keys of the nodes: the first is sent, all are accepted',
  },
  'admin-keys': {
    type: 'string',
    array: true,
    default: [],
    secret: true,
    describe: 'Keys of operators; all are accepted',
  },
  'print-config': {
    type: 'boolean',
    default: false,
    describe: 'Print all settings with their sources, then exit',
  },
} as const satisfies SettingOptions;

/** Variables of the command-line client, which may be set in the same environment. */
const CLI_VARIABLES = ['nodes', 'json', 'wait-ms'].map(environmentVariableOf);

/** The settings, with their layers for explaining each value. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly layers: LayeredSettings;
}

/**
 * Reads the settings of a node from flags and REDWINGCRANK_* variables; flags take precedence.
 *
 * @param argv - The arguments after the program's name.
 * @param env - The variables; a list is comma-separated.
 * @throws InvalidInputError (101) that lists all faults.
 */
export async function loadSettings(
  argv: readonly string[],
  env: Readonly<Record<string, string | undefined>> = process.env,
): Promise<LoadedSettings> {
  const args = await yargs([...argv])
    .scriptName('redwingcrankd')
    .usage(
      '$0 [flags]\n\nRuns one node. Every flag can be a variable: --node-id is REDWINGCRANK_NODE_ID.',
    )
    .parserConfiguration(YARGS_PARSING)
    .options(yargsOptions(NODE_OPTIONS))
    .parse();
  const layers = layerSettings({ options: NODE_OPTIONS, args, env, otherVariables: CLI_VARIABLES });
  const extraFaults = args._.map((found) => ({
    path: 'flags',
    expected: 'flags alone',
    found: String(found),
  }));
  const parsed = checkedSchema.safeParse(layers.values);
  const faults = parsed.success ? [] : faultsOf(parsed.error, withoutSecrets(layers.values));
  const all = [...layers.faults, ...extraFaults, ...faults];
  if (parsed.success && all.length === 0) return { settings: parsed.data, layers };
  throw new InvalidInputError('badSettings', all);
}

/** Reads the settings without their layers. Parameters and errors: see {@link loadSettings}. */
export async function readSettings(
  argv: readonly string[],
  env?: Readonly<Record<string, string | undefined>>,
): Promise<Settings> {
  return (await loadSettings(argv, env)).settings;
}

/** Returns one line for each setting, with secrets hidden. */
export function describeLoaded({ layers }: LoadedSettings): string[] {
  return [...describeSettings(NODE_OPTIONS, layers)];
}

/** Hides the secrets, because a fault quotes the value that it found. */
function withoutSecrets(values: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return { ...values, peerKeys: '(hidden)', adminKeys: '(hidden)' };
}
