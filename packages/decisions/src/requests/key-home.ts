import { rendezvous } from '../rendezvous.js';

/** An entry host from the settings. */
export interface EntryHost {
  readonly nodeId: string;
  readonly dataCentre: string;
}

/**
 * Returns the home of an idempotency key: the entry host that remembers it.
 *
 * Invariant: the home depends only on the key and the settings, never on which hosts are alive.
 * Otherwise two hosts that observed the failure of different peers would choose different homes,
 * and the key would run at both.
 *
 * A key may name its data centre, as in `dc1/7f3a`. Its home is then an entry host there, so that
 * it depends on no other data centre. The home of any other key is one of all entry hosts.
 */
export function keyHome(key: string, hosts: readonly EntryHost[]): string | undefined {
  const named = key.split('/', 1)[0];
  const local = hosts.filter((host) => key.includes('/') && host.dataCentre === named);
  const candidates = local.length > 0 ? local : hosts;
  return rendezvous(
    key,
    candidates.map((host) => host.nodeId),
  );
}
