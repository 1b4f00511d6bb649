import { Subject } from 'rxjs';
import type { ClusterConfig, QueueRoute } from '../cluster-config.js';
import type { KeyedRecord } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { EvacuationWatch } from './evacuation-watch.js';
import { FaultLog } from './fault-log.js';
import { KeyedFollower } from './keyed-follower.js';
import { WaveWatch } from './wave-watch.js';

/**
 * The pause between reads of the operator log, in milliseconds: well below the time within which a
 * change must be applied.
 */
const POLL_GAP_MS = 200;

/** Holds the newest configuration that this node has seen; it never returns to an older one. */
export class ConfigWatch {
  readonly #port: PlatformPort;

  readonly #log: NodeLog;

  readonly #faults: FaultLog;

  readonly follower: KeyedFollower;

  readonly evacuations: EvacuationWatch;

  readonly waves: WaveWatch;

  #current: ClusterConfig | undefined;

  readonly changes$ = new Subject<ClusterConfig>();

  constructor(port: PlatformPort, log: NodeLog, faults = new FaultLog(log)) {
    this.#port = port;
    this.#log = log;
    this.#faults = faults;
    this.follower = new KeyedFollower(port.operatorLog, log, {
      name: 'operator',
      waitMs: 1_000,
      gapMs: POLL_GAP_MS,
    });
    this.evacuations = new EvacuationWatch(port, log, faults, this.follower.messages$);
    this.waves = new WaveWatch(port, faults, this.follower.messages$);
    this.follower.messages$.subscribe((message) => {
      if (message.kind !== 'record') return;
      const { rec } = message;
      if (rec.value !== undefined || rec.fault) this.#read(rec);
    });
  }

  get current(): ClusterConfig | undefined {
    return this.#current;
  }

  /**
   * Returns the queue for a request: the one with the longest matching path prefix for the host.
   */
  route(host: string, path: string): QueueRoute | undefined {
    let best: QueueRoute | undefined;
    for (const queue of this.#current?.queues ?? []) {
      const fits = queue.host === host && path.startsWith(queue.pathPrefix);
      if (fits && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) best = queue;
    }
    return best;
  }

  #read(rec: KeyedRecord): void {
    const decoded = this.#port.decodeConfig(rec);
    if (!decoded) {
      if (rec.fault) this.#faults.unusable('operator', rec.key, rec.fault);
      return;
    }
    if ('fault' in decoded) {
      this.#faults.unusable('operator', rec.key, decoded.fault);
      return;
    }
    this.#faults.usable('operator', rec.key);
    this.#apply(decoded.value);
  }

  #apply(config: ClusterConfig): void {
    if (config.version <= (this.#current?.version ?? -Infinity)) return;
    const from = this.#current?.version;
    this.#current = config;
    this.#log.emit('info', 'config', {
      from,
      version: config.version,
      queues: config.queues.length,
    });
    this.changes$.next(config);
  }
}
