import type { PlatformPort } from '../platform-port.js';
import { WORKER_ENTRY } from './fixtures.js';
import { QuietLog } from './quiet-log.js';
import { SoundWorkers } from './sound-workers.js';

/** A platform on which nothing is stored, but for the parts that a test brings. */
export function platformPort(parts: Partial<PlatformPort>): PlatformPort {
  return {
    workLog: new QuietLog(),
    jobLog: new QuietLog(),
    workerLog: new QuietLog(),
    operatorLog: new QuietLog(),
    workers: new SoundWorkers(),
    workerIdOf: ({ key }) => key,
    decodeWorker: () => ({ value: WORKER_ENTRY }),
    decodeConfig: () => undefined,
    ...parts,
  };
}
