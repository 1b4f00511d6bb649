import type { PlatformPort } from '../platform-port.js';
import { WORKER_ENTRY } from './fixtures.js';
import { StaticLog } from './static-log.js';
import { HealthyWorkers } from './healthy-workers.js';

/** Returns a platform with empty logs and healthy workers, with the given parts replaced. */
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
    decodeEvacuation: () => undefined,
    ...parts,
  };
}
