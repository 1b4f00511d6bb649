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

/** Another node: `id@dataCentre=ip:port`, where the port is that of its peer listener. */
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

/** A key that can be guessed protects nothing. */
const MIN_KEY_LENGTH = 16;

const keys = z.array(
  z.string().min(MIN_KEY_LENGTH, `keys of ${MIN_KEY_LENGTH} characters or more`),
);

const port = z.int().min(0).max(65_535);

const settingsSchema = z.object({
  nodeId: z.string().regex(/^[\w-]+$/, 'letters, digits, dashes'),
  dataCentre: z.string().regex(/^[a-z0-9-]+$/, 'lower-case letters, digits, dashes'),
  roles: z.array(z.enum(ROLES)).min(1),
  ip: z.ipv4(),
  callerPort: port,
  peerPort: port,
  adminPort: port,
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
  peerKeys: keys,
  adminKeys: keys,
  printConfig: z.boolean(),
});

const LOOPBACK = /^127\./;

/** Beyond loopback anybody on the network reaches the listeners of peers and operators. */
const checkedSchema = settingsSchema.superRefine((settings, ctx) => {
  if (LOOPBACK.test(settings.ip)) return;
  for (const path of ['peerKeys', 'adminKeys'] as const) {
    if (settings[path].length === 0) {
      const message = `a key, since ${settings.ip} is not loopback`;
      ctx.addIssue({ code: 'custom', path: [path], message });
    }
  }
});

export type Settings = z.infer<typeof settingsSchema>;

/** Everything a node can be told, as flags and as REDWINGCRANK_* variables. */
export const NODE_OPTIONS = {
  'node-id': { type: 'string', describe: 'The name of this node, unique among all nodes' },
  'data-centre': { type: 'string', describe: 'The data centre this node is in' },
  roles: { type: 'string', array: true, default: [...ROLES], describe: 'entry, scheduler' },
  ip: { type: 'string', default: '127.0.0.1', describe: 'The address to listen on' },
  'caller-port': { type: 'number', default: 0, describe: 'For callers; 0 takes a free one' },
  'peer-port': { type: 'number', default: 0, describe: 'For other nodes' },
  'admin-port': { type: 'number', default: 0, describe: 'For operators' },
  'log-url': { type: 'string', describe: "The platform's log" },
  'host-list-url': { type: 'string', describe: "The platform's host list" },
  peers: { type: 'string', array: true, default: [], describe: 'id@dataCentre=ip:port, each' },
  'lease-ms': { type: 'number', default: 10_000, describe: 'How long a lease lasts' },
  'stale-ms': {
    type: 'number',
    default: 30_000,
    describe: 'Without the log for so long, a node renews no task that may lapse',
  },
  'platform-timeout-ms': { type: 'number', default: 2_000, describe: 'Limit for an answer' },
  'log-retention-ms': {
    type: 'number',
    default: 3_600_000,
    describe: 'The log keeps records so long',
  },
  'host-list-poll-ms': { type: 'number', default: 1_000, describe: 'Time between two looks' },
  'host-list-confirm-ms': {
    type: 'number',
    default: 30_000,
    describe: 'When hosts that vanish in numbers count as gone',
  },
  'hello-ms': { type: 'number', default: 500, describe: 'Time between two exchanges with a peer' },
  'peer-silence-ms': { type: 'number', default: 3_000, describe: 'When a peer counts as silent' },
  'drain-ms': { type: 'number', default: 30_000, describe: 'The longest wait for open requests' },
  picker: {
    type: 'string',
    default: 'least-time',
    describe: `Choice of endpoints: ${PICKERS.join(', ')}`,
  },
  'drain-notice-ms': {
    type: 'number',
    default: 500,
    describe: 'Time for the balancer to see not ready',
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
    describe: 'Ids of all nodes with role entry; every node where it is left out',
  },
  'key-window-ms': {
    type: 'number',
    default: 600_000,
    describe: 'How long callers may send an idempotency key again',
  },
  seed: { type: 'number', default: 1, describe: 'Seed of random choices' },
  'log-level': { type: 'string', default: 'info', describe: 'trace to error, or silent' },
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
    describe: 'Keys of operators: all are accepted',
  },
  'print-config': {
    type: 'boolean',
    default: false,
    describe: 'Print what is in force and where it came from, and end',
  },
} as const satisfies SettingOptions;

/** One environment may hold the settings of the command line as well. */
const CLI_VARIABLES = ['nodes', 'json', 'wait-ms'].map(environmentVariableOf);

/** The settings with what is needed to explain them. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly layers: LayeredSettings;
}

/**
 * Reads the settings of a node from flags and REDWINGCRANK_* variables; flags go first.
 *
 * @param argv - The arguments after the program's name.
 * @param env - The variables; a list is comma-separated.
 * @throws InvalidInputError (101) with every fault at once.
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
  const extra = args._.map((found) => ({
    path: 'flags',
    expected: 'flags alone',
    found: String(found),
  }));
  const reading = checkedSchema.safeParse(layers.values);
  const faults = reading.success ? [] : faultsOf(reading.error, withoutSecrets(layers.values));
  const all = [...layers.faults, ...extra, ...faults];
  if (reading.success && all.length === 0) return { settings: reading.data, layers };
  throw new InvalidInputError('badSettings', all);
}

/** The settings alone. Parameters and errors are those of {@link loadSettings}. */
export async function readSettings(
  argv: readonly string[],
  env?: Readonly<Record<string, string | undefined>>,
): Promise<Settings> {
  return (await loadSettings(argv, env)).settings;
}

/** One line for each setting, secrets left out. */
export function describeLoaded({ layers }: LoadedSettings): string[] {
  return [...describeSettings(NODE_OPTIONS, layers)];
}

/** A fault quotes what it found, and a secret must not get into a log that way. */
function withoutSecrets(values: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return { ...values, peerKeys: '(hidden)', adminKeys: '(hidden)' };
}
