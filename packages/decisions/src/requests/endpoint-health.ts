/** Number of consecutive sends without a response after which an endpoint is ejected. */
const SILENCES_BEFORE_EJECTION = 3;

const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 16_000;

/** After this time without a probe, all requests may try: some services get no idempotent ones. */
const REOPEN_AFTER_MS = 30_000;

const SAMPLE_WEIGHT = 0.2;

/** Age at which a measured latency has half its weight: a slow endpoint may have recovered. */
const LATENCY_HALF_LIFE_MS = 10_000;

/**
 * Whether an endpoint may get requests:
 * - `open`: accepts requests.
 * - `probe`: the ejection has ended; one idempotent request may test the endpoint.
 * - `ejected`: gets no requests while another endpoint has free capacity.
 */
export type EndpointState = 'open' | 'probe' | 'ejected';

interface Health {
  silences: number;
  ejections: number;
  ejectedUntil: number;
  probing: boolean;
  latencyMs: number;
  measuredAt: number;
}

/** The health of each endpoint as observed by one entry host. Times are in milliseconds. */
export class EndpointHealth {
  readonly #healthByAddress = new Map<string, Health>();

  stateOf(address: string, now: number): EndpointState {
    const health = this.#healthByAddress.get(address);
    if (!health || health.ejections === 0) return 'open';
    if (now >= health.ejectedUntil + REOPEN_AFTER_MS) return 'open';
    return now >= health.ejectedUntil && !health.probing ? 'probe' : 'ejected';
  }

  /** Returns the smoothed latency, or 0 before the first measurement. */
  latencyOf(address: string, now: number): number {
    const health = this.#healthByAddress.get(address);
    if (!health) return 0;
    return health.latencyMs * 0.5 ** ((now - health.measuredAt) / LATENCY_HALF_LIFE_MS);
  }

  /** Handles a request being sent; if a probe of the endpoint is due, the request is that probe. */
  sent(address: string, now: number): void {
    if (this.stateOf(address, now) === 'probe') this.#healthOf(address).probing = true;
  }

  /** Handles the first bytes of an answer. */
  answered(address: string, latencyMs: number, now: number): void {
    const health = this.#healthOf(address);
    Object.assign(health, { silences: 0, ejections: 0, probing: false });
    const isFirst = health.measuredAt === 0;
    health.latencyMs += (isFirst ? 1 : SAMPLE_WEIGHT) * (latencyMs - health.latencyMs);
    health.measuredAt = now;
  }

  /** Handles a send without any response within its time limit, or with a broken connection. */
  silent(address: string, now: number): void {
    const health = this.#healthOf(address);
    health.silences += 1;
    if (health.probing || health.silences >= SILENCES_BEFORE_EJECTION) this.#eject(health, now);
  }

  /** Handles a refused connection. Nothing listens there, so one refusal ejects the endpoint. */
  refused(address: string, now: number): void {
    this.#eject(this.#healthOf(address), now);
  }

  /** Forgets all endpoints other than the given ones. */
  retain(addresses: ReadonlySet<string>): void {
    for (const address of this.#healthByAddress.keys()) {
      if (!addresses.has(address)) this.#healthByAddress.delete(address);
    }
  }

  #eject(health: Health, now: number): void {
    // Failed sends that were made before the ejection must not extend it.
    if (now < health.ejectedUntil) return;
    const factor = 2 ** health.ejections;
    const ms = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * factor);
    Object.assign(health, { ejectedUntil: now + ms, probing: false, silences: 0 });
    health.ejections += 1;
  }

  #healthOf(address: string): Health {
    const known = this.#healthByAddress.get(address);
    if (known) return known;
    const created = {
      silences: 0,
      ejections: 0,
      ejectedUntil: 0,
      probing: false,
      latencyMs: 0,
      measuredAt: 0,
    };
    this.#healthByAddress.set(address, created);
    return created;
  }
}
