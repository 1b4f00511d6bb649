import { BehaviorSubject } from 'rxjs';
import type { ListedHost } from '@redwingcrank/protocol';
import type { HostListSource } from '@redwingcrank/ports';
import { HostListFilter } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';
import { sleep } from './sleep.js';

export interface HostListOptions {
  readonly source: HostListSource;
  readonly events: EventLog;
  readonly pollMs: number;
  /** How long hosts that vanish in large numbers must stay away to count as removed, in ms. */
  readonly confirmMs: number;
  /** Returns the hosts in the control stream. */
  readonly known: () => Iterable<ListedHost>;
}

/** Polls the platform's host list at a fixed interval. */
export class HostListTask {
  readonly #options: HostListOptions;

  readonly #filter: HostListFilter;

  #retainedCount = 0;

  #stopped = false;

  /** The filtered list, or undefined before the first successful poll. */
  readonly hosts$ = new BehaviorSubject<readonly ListedHost[] | undefined>(undefined);

  constructor(options: HostListOptions) {
    this.#options = options;
    this.#filter = new HostListFilter(options.confirmMs);
  }

  /** Returns the ids of the hosts that are listed as leaving. */
  leaving(): ReadonlySet<string> {
    const hosts = this.hosts$.value ?? [];
    return new Set(hosts.filter((h) => h.state === 'leaving').map((h) => h.hostId));
  }

  start(): void {
    this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await this.#poll();
      await sleep(this.#options.pollMs);
    }
  }

  async #poll(): Promise<void> {
    const { source, events } = this.#options;
    try {
      const { hosts, version } = await source.list();
      this.#accept(hosts, version);
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      events.emit('warn', 'host-list-unavailable', { reason });
    }
  }
  #accept(hosts: readonly ListedHost[], version: number | undefined): void {
    const { events, known } = this.#options;
    const filtered = this.#filter.filter(hosts, known(), performance.now(), version);
    if (!filtered) {
      events.emit('warn', 'host-list-old', { version: version ?? 0 });
      return;
    }
    const held = filtered.retained.length;
    if (held !== this.#retainedCount) {
      events.emit('warn', 'host-list-held', { held, shown: hosts.length });
      this.#retainedCount = held;
    }
    this.hosts$.next(filtered.hosts);
  }
}
