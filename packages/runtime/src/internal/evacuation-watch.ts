import type { Observable } from 'rxjs';
import { Subject } from 'rxjs';
import type { KeyedRecord } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { steadyMs } from './delay.js';
import type { FaultLog } from './fault-log.js';
import type { FollowerMessage } from './keyed-follower.js';

/**
 * Follows which data centres the operators have evacuated. An unusable record changes nothing: what
 * was evacuated remains so, and nothing else is.
 */
export class EvacuationWatch {
  readonly #port: PlatformPort;

  readonly #log: NodeLog;

  readonly #faults: FaultLog;

  /** For each evacuated data centre, since when this node knows of it, on the steady clock. */
  readonly #sinceMs = new Map<string, number>();

  /** Evacuated data centres whose records were not read yet while the log is loaded again. */
  #unconfirmed: Set<string> | undefined;

  /** Emits the evacuated data centres when they change. */
  readonly changes$ = new Subject<ReadonlySet<string>>();

  constructor(
    port: PlatformPort,
    log: NodeLog,
    faults: FaultLog,
    messages$: Observable<FollowerMessage>,
  ) {
    this.#port = port;
    this.#log = log;
    this.#faults = faults;
    messages$.subscribe((message) => this.#onMessage(message));
  }

  /** The evacuated data centres, with how long this node has known of each, in milliseconds. */
  get ages(): ReadonlyMap<string, number> {
    const nowMs = steadyMs();
    return new Map([...this.#sinceMs].map(([name, sinceMs]) => [name, nowMs - sinceMs]));
  }

  get current(): ReadonlySet<string> {
    return new Set(this.#sinceMs.keys());
  }

  #onMessage(message: FollowerMessage): void {
    if (message.kind === 'record') this.#read(message.rec);
    else if (message.kind === 'reset') this.#unconfirmed = new Set(this.#sinceMs.keys());
    else this.#caughtUp();
  }

  #caughtUp(): void {
    // An evacuation without a record in the reloaded log has ended.
    for (const dataCentre of this.#unconfirmed ?? []) this.#end(dataCentre);
    this.#unconfirmed = undefined;
  }

  #read(rec: KeyedRecord): void {
    const request = this.#port.decodeEvacuation(rec);
    if (!request) return;
    const { dataCentre, content } = request;
    this.#unconfirmed?.delete(dataCentre);
    if ('fault' in content) {
      this.#faults.unusable('operator', rec.key, content.fault);
      return;
    }
    this.#faults.usable('operator', rec.key);
    if (content.value === 'present') this.#begin(dataCentre);
    else this.#end(dataCentre);
  }

  #begin(dataCentre: string): void {
    if (this.#sinceMs.has(dataCentre)) return;
    this.#sinceMs.set(dataCentre, steadyMs());
    this.#log.emit('info', 'evacuation', { dataCentre, state: 'begun' });
    this.changes$.next(this.current);
  }

  #end(dataCentre: string): void {
    if (!this.#sinceMs.has(dataCentre)) return;
    const forMs = Math.round(this.ages.get(dataCentre)!);
    this.#sinceMs.delete(dataCentre);
    this.#log.emit('info', 'evacuation', { dataCentre, state: 'ended', forMs });
    this.changes$.next(this.current);
  }
}
