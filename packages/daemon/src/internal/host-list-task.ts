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
  /** How long hosts that vanish in numbers must stay away before they count as gone. */
  readonly confirmMs: number;
  /** The hosts that the control stream holds. */
  readonly known: () => Iterable<ListedHost>;
}

/** Looks at the platform's host list at a steady pace. */
export class HostListTask {
  readonly #options: HostListOptions;

  readonly #judge: HostListFilter;

  #heldBack = 0;

  #stopped = false;

  /** The list as it was judged, or undefined before the first look. */
  readonly hosts$ = new BehaviorSubject<readonly ListedHost[] | undefined>(undefined);

  constructor(options: HostListOptions) {
    this.#options = options;
    this.#judge = new HostListFilter(options.confirmMs);
  }

  /** Hosts that are shown as leaving. */
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
      await this.#look();
      await sleep(this.#options.pollMs);
    }
  }

  async #look(): Promise<void> {
    const { source, events } = this.#options;
    try {
      const { hosts, version } = await source.list();
      this.#take(hosts, version);
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      events.emit('warn', 'host-list-unavailable', { reason });
    }
  }
  #take(hosts: readonly ListedHost[], version: number | undefined): void {
    const { events, known } = this.#options;
    const judged = this.#judge.filter(hosts, known(), performance.now(), version);
    if (!judged) {
      events.emit('warn', 'host-list-old', { version: version ?? 0 });
      return;
    }
    const held = judged.retained.length;
    if (held !== this.#heldBack) {
      events.emit('warn', 'host-list-held', { held, shown: hosts.length });
      this.#heldBack = held;
    }
    this.hosts$.next(judged.hosts);
  }
}
