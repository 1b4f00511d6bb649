import { Subject } from 'rxjs';
import type { ClusterConfig, QueueRoute } from '../cluster-config.js';
import type { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { KeyedFollower } from './keyed-follower.js';

/** How often the operators' records are read, in milliseconds: well under the time they have. */
const GAP_MS = 200;

/** Holds the newest configuration that this node has seen; it never goes back to an older one. */
export class ConfigWatch {
  readonly #port: PlatformPort;

  readonly #log: NodeLog;

  readonly follower: KeyedFollower;

  #current: ClusterConfig | undefined;

  readonly changes$ = new Subject<ClusterConfig>();

  constructor(port: PlatformPort, log: NodeLog) {
    this.#port = port;
    this.#log = log;
    this.follower = new KeyedFollower(port.operatorLog, log, {
      name: 'operator',
      waitMs: 1_000,
      gapMs: GAP_MS,
    });
    this.follower.messages$.subscribe((message) => {
      if (message.kind === 'record' && message.rec.value !== undefined) this.#read(message.rec);
    });
  }

  get current(): ClusterConfig | undefined {
    return this.#current;
  }

  /** The queue that a request is for: the longest prefix of its path under its host. */
  route(host: string, path: string): QueueRoute | undefined {
    let best: QueueRoute | undefined;
    for (const queue of this.#current?.queues ?? []) {
      const fits = queue.host === host && path.startsWith(queue.pathPrefix);
      if (fits && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) best = queue;
    }
    return best;
  }

  #read(rec: { key: string; value: string | undefined }): void {
    try {
      const decoded = this.#port.decodeConfig(rec);
      if (!decoded || 'fault' in decoded) return;
      const config = decoded.value;
      if (config.version <= (this.#current?.version ?? -Infinity)) return;
      const from = this.#current?.version;
      this.#current = config;
      this.#log.emit('info', 'config', {
        from,
        version: config.version,
        queues: config.queues.length,
      });
      this.changes$.next(config);
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      this.#log.emit('error', 'config-unreadable', { key: rec.key, reason });
    }
  }
}
