import type { WorkerState } from '@redwingcrank/jobs';
import type { NodeSettings } from '../node-settings.js';
import type { PeerLink } from '../peer-port.js';
import type { WorkerAddress } from '../task-workers.js';
import { delay, steadyMs } from './delay.js';
import { encodeLeaseGrants } from './lease-grants-message.js';
import { CONFIRMED_LEASE_MS, LEASE_MS, withClockDrift } from './timing.js';
import type { Watchers } from './watchers.js';
import type { WorkerLink } from './worker-link.js';

/**
 * Interval of messages to delegates, in milliseconds. A message lists only changed grants, and a
 * worker's clock is read about once a second, so a longer interval would save few bytes, and the
 * last grant before a partition would end sooner.
 */
const GRANT_INTERVAL_MS = 500;

/** How many nodes of a data centre get its grants: one may have failed. */
const DELEGATES_PER_DATA_CENTRE = 2;

/**
 * Maximum age of the clock reading that a grant is based on, in milliseconds. Until then clocks
 * drift apart by 42 ms, for which `CLOCK_MARGIN_MS` allows.
 */
const MAX_READING_AGE_MS = 2_000;

/** What a leader knows and does about leases. */
export interface GrantingTerm {
  readonly token: number;
  workers(): ReadonlyMap<string, Pick<WorkerState, 'entry' | 'fenced' | 'runs' | 'incarnation'>>;
  readonly links: ReadonlyMap<string, Pick<WorkerLink, 'address' | 'clock'>>;
  /** Returns how long from now a lease may last, in milliseconds; 0 or less if none is allowed. */
  leaseLimitMs(worker: string): number;
  /** Called before a grant is sent: leases on the worker may last until `leaseEndMs`. */
  grantSent(worker: string, leaseEndMs: number): void;
}

/** The time until which other nodes may renew leases on a worker. */
interface Grant {
  readonly address: WorkerAddress;
  /** On the worker's clock. */
  readonly untilMs: number;
  /** When leases renewed under the grant have expired even by the slowest clock, on this node's. */
  readonly leaseEndMs: number;
}

/** What was sent on one connection. */
class SentGrants {
  readonly #indices = new Map<string, number>();

  readonly #untilMs = new Map<string, number>();

  #lastGrantMs = -Infinity;

  /** Returns the grants that last longer than those sent before. */
  newOnes(grants: readonly Grant[]): Grant[] {
    return grants.filter(
      ({ address, untilMs }) => untilMs > (this.#untilMs.get(processOf(address)) ?? 0),
    );
  }

  /** Whether the delegate holds grants, and would renew leases if it got no message. */
  isActive(nowMs: number): boolean {
    return nowMs - this.#lastGrantMs <= CONFIRMED_LEASE_MS;
  }

  /** Returns the message with these grants and marks them as sent. */
  message(token: number, grants: readonly Grant[], nowMs: number): string {
    const workers: [number, WorkerAddress][] = [];
    const until: [number, number][] = [];
    for (const { address, untilMs } of grants) {
      const process = processOf(address);
      let index = this.#indices.get(process);
      if (index === undefined) {
        index = this.#indices.size;
        this.#indices.set(process, index);
        workers.push([index, address]);
      }
      this.#untilMs.set(process, untilMs);
      until.push([index, untilMs]);
    }
    if (grants.length > 0) this.#lastGrantMs = nowMs;
    return encodeLeaseGrants({ token, workers, until });
  }
}

/**
 * Whether a leader with these settings lets other nodes renew leases. Where the platform allows
 * leases longer than `LEASE_MS`, a delegate of an earlier leader could renew one for longer than a
 * later leader assumes after its first contact with the worker.
 */
export function hasDelegates({
  toleratedDataCentres,
  maxLeaseMs,
}: Pick<NodeSettings, 'toleratedDataCentres' | 'maxLeaseMs'>): boolean {
  return toleratedDataCentres >= 1 && maxLeaseMs <= LEASE_MS;
}

/**
 * Grants the largest nodes of each other data centre the renewal of leases there, for the time in
 * which the leader cannot contact that data centre. Each grant is an absolute time on the worker's
 * clock within the bounds of the leader's own leases, and is counted as a lease before it is sent.
 */
export class LeaseGrants {
  readonly #settings: Pick<NodeSettings, 'dataCentre' | 'toleratedDataCentres' | 'maxLeaseMs'>;

  readonly #watchers: Pick<Watchers, 'links'> | undefined;

  readonly #term: GrantingTerm;

  readonly #sent = new WeakMap<PeerLink, SentGrants>();

  #count = 0;

  constructor(
    settings: Pick<NodeSettings, 'dataCentre' | 'toleratedDataCentres' | 'maxLeaseMs'>,
    watchers: Pick<Watchers, 'links'> | undefined,
    term: GrantingTerm,
  ) {
    this.#settings = settings;
    this.#watchers = watchers;
    this.#term = term;
  }

  /** The number of workers on which other nodes may renew leases. */
  get count(): number {
    return this.#count;
  }

  /** Sends grants until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    if (!this.#watchers || !hasDelegates(this.#settings)) return;
    while (!signal.aborted) {
      await delay(GRANT_INTERVAL_MS, signal);
      if (!signal.aborted) this.#send(this.#watchers.links);
    }
  }

  #send(links: Iterable<PeerLink>): void {
    const nowMs = steadyMs();
    // What is sent into a network partition waits for its end, and each further message with it.
    const writable = [...links].filter(({ isWritable }) => isWritable);
    const delegates = delegatesOf(writable, this.#settings.dataCentre);
    this.#count = 0;
    for (const [dataCentre, chosen] of delegates) {
      const grants = [...this.#grantsIn(dataCentre, nowMs)];
      this.#count += grants.length;
      for (const link of chosen) this.#sendTo(link, grants, nowMs);
    }
    // A former delegate that got no message would renew until its grants have passed.
    const chosen = new Set([...delegates.values()].flat());
    for (const link of writable) if (!chosen.has(link)) this.#sendTo(link, [], nowMs);
  }

  #sendTo(link: PeerLink, grants: readonly Grant[], nowMs: number): void {
    const sent = this.#sent.get(link) ?? new SentGrants();
    this.#sent.set(link, sent);
    const newGrants = sent.newOnes(grants);
    if (newGrants.length === 0 && !sent.isActive(nowMs)) return;
    for (const { address, leaseEndMs } of newGrants) this.#term.grantSent(address.id, leaseEndMs);
    link.send(sent.message(this.#term.token, newGrants, nowMs));
  }

  /** Yields the grants for the busy workers of the data centre. */
  *#grantsIn(dataCentre: string, nowMs: number): Generator<Grant> {
    for (const [id, { entry, fenced, runs, incarnation }] of this.#term.workers()) {
      const isBusy = entry.dataCentre === dataCentre && fenced && runs.size > 0;
      const grant = isBusy ? this.#grantFor(id, incarnation, nowMs) : undefined;
      if (grant) yield grant;
    }
  }

  #grantFor(id: string, incarnation: number | undefined, nowMs: number): Grant | undefined {
    const link = this.#term.links.get(id);
    const limitMs = this.#term.leaseLimitMs(id);
    if (!link?.clock || limitMs <= 0 || nowMs - link.clock.atMs > MAX_READING_AGE_MS)
      return undefined;
    const { clockMs, atMs } = link.clock;
    // Counted from the worker's answer: while it is silent, the wait for its leases does not grow.
    const leaseMs = Math.floor(Math.min(CONFIRMED_LEASE_MS, nowMs + limitMs - atMs));
    return {
      address: { ...link.address, ...(incarnation !== undefined && { incarnation }) },
      untilMs: Math.floor(clockMs) + leaseMs,
      leaseEndMs: atMs + withClockDrift(leaseMs),
    };
  }
}

/** Returns a key for the process of a worker: the clocks of two processes are unrelated. */
function processOf({ id, incarnation = 0 }: WorkerAddress): string {
  return `${id} ${incarnation}`;
}

/**
 * Returns the delegates of each data centre but the leader's own: its largest connected nodes. A
 * node that was cut off may have two connections, of which only the newer one still works.
 */
function delegatesOf(
  links: Iterable<PeerLink>,
  ownDataCentre: string,
): ReadonlyMap<string, readonly PeerLink[]> {
  const byNode = new Map([...links].map((link) => [link.peer.node, link]));
  const byDataCentre = new Map<string, PeerLink[]>();
  for (const link of byNode.values()) {
    const { dataCentre = ownDataCentre } = link.peer;
    if (dataCentre !== ownDataCentre)
      byDataCentre.set(dataCentre, [...(byDataCentre.get(dataCentre) ?? []), link]);
  }
  for (const [dataCentre, connected] of byDataCentre) {
    connected.sort((a, b) => b.peer.cores - a.peer.cores);
    byDataCentre.set(dataCentre, connected.slice(0, DELEGATES_PER_DATA_CENTRE));
  }
  return byDataCentre;
}
