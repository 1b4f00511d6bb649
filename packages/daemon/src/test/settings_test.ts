import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvalidInputError } from '@redwingcrank/protocol';
import { describeLoaded, loadSettings, readSettings } from '../index.js';

const VALID = [
  '--node-id=n1',
  '--data-centre=dc1',
  '--log-url=http://127.0.0.1:1',
  '--host-list-url=http://127.0.0.1:2',
];

async function faultsOf(argv: readonly string[], env = {}): Promise<string[]> {
  const err = await readSettings(argv, env).then(
    () => undefined,
    (reason: unknown) => reason,
  );
  return err instanceof InvalidInputError ? err.faults.map((fault) => fault.path) : [];
}

test('valid settings are accepted, with defaults for the rest', async () => {
  const settings = await readSettings([...VALID, '--peers=n2@dc1=127.0.0.1:5']);
  const peer = { nodeId: 'n2', dataCentre: 'dc1', address: '127.0.0.1:5' };
  assert.deepEqual(settings.peers, [peer]);
  assert.deepEqual(settings.roles, ['entry', 'scheduler']);
});

test('all faults are listed together', async () => {
  const faults = await faultsOf(['--node-id=n1', '--roles=king', '--peers=x', '--lease-ms=1']);
  const expected = ['dataCentre', 'roles.0', 'logUrl', 'hostListUrl', 'peers.0', 'leaseMs'];
  assert.deepEqual(faults.sort(), expected.sort());
});

test('unknown flags, positional arguments and unknown variables are refused', async () => {
  assert.deepEqual(await faultsOf([...VALID, '--colour=red', '-x']), ['flags', 'flags']);
  assert.deepEqual(await faultsOf([...VALID, 'stray']), ['flags']);
  assert.deepEqual(await faultsOf(VALID, { REDWINGCRANK_LEASE: '9' }), ['variables']);
  assert.deepEqual(await faultsOf(VALID, { REDWINGCRANK_NODES: '127.0.0.1:1' }), []);
});

test('lists in variables are comma-separated, and flags take precedence over variables', async () => {
  const env = {
    REDWINGCRANK_PEERS: 'n2@dc1=127.0.0.1:5, n3@dc2=127.0.0.1:6',
    REDWINGCRANK_ROLES: 'entry',
    REDWINGCRANK_LEASE_MS: '7000',
    REDWINGCRANK_SEED: '3',
  };
  const settings = await readSettings([...VALID, '--seed=4'], env);
  assert.deepEqual(
    settings.peers.map((peer) => peer.nodeId),
    ['n2', 'n3'],
  );
  assert.deepEqual([settings.roles, settings.leaseMs, settings.seed], [['entry'], 7000, 4]);
});

test('settings are listed with their sources, and keys are never shown', async () => {
  const secret = 'a-key-that-nobody-may-see';
  const env = { REDWINGCRANK_ADMIN_KEYS: secret, REDWINGCRANK_LEASE_MS: '7000' };
  const lines = describeLoaded(await loadSettings(VALID, env));
  assert.ok(lines.includes('lease-ms=7000 (REDWINGCRANK_LEASE_MS)'), lines.join('\n'));
  assert.ok(lines.includes('node-id=n1 (flag)'));
  assert.ok(lines.includes('admin-keys=(1 hidden) (REDWINGCRANK_ADMIN_KEYS)'));
  assert.ok(!lines.join().includes(secret));
  const err = await readSettings([...VALID, '--peer-keys=shorty', '--admin-keys=short'], env).catch(
    (reason: Error) => reason.message,
  );
  assert.match(String(err), /peerKeys\.0: expected keys of 16 characters or more/);
  assert.ok(!String(err).includes('shorty'));
});

test('a node on a non-loopback address requires keys', async () => {
  assert.deepEqual(await faultsOf([...VALID, '--ip=10.0.0.1']), ['peerKeys', 'adminKeys']);
});
