import type { Manifest, Service } from '@redwingcrank/protocol';
import type { ControlFold } from './control-fold.js';

/** The address of one running instance of a service. */
export interface Endpoint {
  /** `ip:port`. */
  readonly address: string;
  readonly taskId: string;
  readonly dataCentre: string;
  readonly hostId: string;
}

/** Returns the service whose path prefix matches a path, or undefined. */
export function serviceOfPath(manifest: Manifest, path: string): Service | undefined {
  const end = path.slice(1).search(/[/?]/);
  const prefix = end < 0 ? path : path.slice(0, end + 1);
  return manifest.services.find((service) => service.pathPrefix === prefix);
}

/**
 * Yields the endpoints of a service in one data centre. A leaving host receives no new requests:
 * its endpoints are omitted as soon as the platform's list or the control stream shows it as
 * leaving.
 *
 * @param leaving - The ids of hosts that the platform's list shows as leaving.
 */
export function* endpointsOf(
  fold: ControlFold,
  dataCentre: string,
  service: string,
  leaving: ReadonlySet<string>,
): Generator<Endpoint> {
  for (const taskId of fold.tasksOf(service)) {
    const task = fold.tasks.get(taskId);
    if (task?.state !== 'running' || task.endpoint === undefined) continue;
    if (leaving.has(task.hostId)) continue;
    if (fold.hosts.get(task.hostId)?.state !== 'live') continue;
    yield { address: task.endpoint, taskId, dataCentre, hostId: task.hostId };
  }
}
