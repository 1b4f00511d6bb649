import type { PlatformPort } from '../platform-port.js';
import { WORKER_ENTRY } from './fixtures.js';
import { StaticLog } from './static-log.js';
import { HealthyWorkers } from './healthy-workers.js';

/** A platform on which nothing is stored, but for the parts that a test brings. */
export function platformPort(parts: Partial<PlatformPort>): PlatformPort {
  return {
    workLog: new StaticLog(),
    jobLog: new StaticLog(),
    workerLog: new StaticLog(),
    operatorLog: new StaticLog(),
    workers: new HealthyWorkers(),
    workerIdOf: ({ key }) => key,
    decodeWorker: () => ({ value: WORKER_ENTRY }),
    decodeConfig: () => undefined,
    ...parts,
  };
}
