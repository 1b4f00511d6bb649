import type { WaveRequest } from '@redwingcrank/jobs';
import type { Observable } from 'rxjs';
import { Subject } from 'rxjs';
import type { KeyedRecord } from '../keyed-log.js';
import type { PlatformPort } from '../platform-port.js';
import { steadyMs } from './delay.js';
import type { FaultLog } from './fault-log.js';
import type { FollowerMessage } from './keyed-follower.js';

/** A wave that the operators' log holds. */
export interface RequestedWave {
  readonly request: WaveRequest;
  /** Since when this node knows of the wave, on the steady clock. */
  readonly sinceMs: number;
}

/**
 * Follows which waves of maintenance the operators request. An unusable record changes nothing: a
 * known wave continues as it was requested, and no wave begins.
 */
export class WaveWatch {
  readonly #port: PlatformPort;

  readonly #faults: FaultLog;

  readonly #waves = new Map<number, RequestedWave>();

  /** Waves whose newest records cannot be used. */
  readonly #unusable = new Set<number>();

  /** Waves whose records were not read yet while the log is loaded again. */
  #unconfirmed: Set<number> | undefined;

  #isLoaded = false;

  /** Emits when a wave was requested, changed or deleted. */
  readonly changes$ = new Subject<void>();

  constructor(port: PlatformPort, faults: FaultLog, messages$: Observable<FollowerMessage>) {
    this.#port = port;
    this.#faults = faults;
    if (port.waves) messages$.subscribe((message) => this.#onMessage(message));
  }

  /** The requested waves, by number. */
  get current(): ReadonlyMap<number, RequestedWave> {
    return this.#waves;
  }

  /** Whether the log has been read to its end, so that a wave that is not known was deleted. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Whether the operators' log, as read to its end, holds no record of the wave. */
  isDeleted(wave: number): boolean {
    return this.#isLoaded && !this.#waves.has(wave) && !this.#unusable.has(wave);
  }

  #onMessage(message: FollowerMessage): void {
    if (message.kind === 'record') this.#read(message.rec);
    else if (message.kind === 'reset') this.#unconfirmed = new Set(this.#waves.keys());
    else this.#caughtUp();
  }

  #caughtUp(): void {
    this.#isLoaded = true;
    // A wave without a record in the reloaded log was deleted.
    for (const wave of this.#unconfirmed ?? []) this.#end(wave);
    this.#unconfirmed = undefined;
  }

  #read(rec: KeyedRecord): void {
    const decoded = this.#port.waves?.decode(rec);
    if (!decoded) return;
    const { wave, content } = decoded;
    this.#unconfirmed?.delete(wave);
    if ('fault' in content) {
      this.#unusable.add(wave);
      this.#faults.unusable('operator', rec.key, content.fault);
      return;
    }
    this.#unusable.delete(wave);
    this.#faults.usable('operator', rec.key);
    if (content.value === 'deleted') this.#end(wave);
    else this.#request(wave, content.value);
  }

  #request(wave: number, request: WaveRequest): void {
    const sinceMs = this.#waves.get(wave)?.sinceMs ?? steadyMs();
    this.#waves.set(wave, { request, sinceMs });
    this.changes$.next();
  }

  #end(wave: number): void {
    if (this.#waves.delete(wave)) this.changes$.next();
  }
}
