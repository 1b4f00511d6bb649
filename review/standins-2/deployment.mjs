import { randomBytes } from 'node:crypto';
import { Minion } from './minion.mjs';
import { HOST } from './rig.mjs';

const RACK_SIZE = 6;

/** Processor time of a minion, in thousandths of a core. */
export const MINION_MILLI = 32_000;

/** Returns a route of the configuration. */
export function routeOf(name, priority) {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    service: 'pool',
    priority,
    timeout_ms: 3_000,
    max_attempts: 3,
    stretch: 3,
    target_latency_ms: 1_000,
  };
}

/** Returns the id of a new job. */
export function newId() {
  return randomBytes(8).toString('hex');
}

/** Whether an answer means that the call was carried out. */
export function isDone({ status }) {
  return status >= 200 && status < 300;
}

/** Starts and ends of tasks, as the minions saw them. */
export class TaskHistory {
  #rig;

  events = [];

  constructor(rig) {
    this.#rig = rig;
  }

  add(event) {
    this.events.push({ ...event, atS: this.#rig.nowS });
    this.#rig.record(event.kind, event);
  }

  /** Returns the events of one kind of the tasks of a job, or of one task. */
  of(kind, name) {
    return this.events.filter((event) => event.kind === kind && event.task.startsWith(name));
  }

  /** Returns the runs of a job that were there at some time of this span. */
  runsBetween(name, fromS, untilS) {
    return this.of('started', name).filter(({ task, run, worker, atS }) => {
      const end = this.events.find(
        (event) =>
          event.kind !== 'started' &&
          event.task === task &&
          event.run === run &&
          event.worker === worker,
      );
      return atS < untilS && (end?.atS ?? Infinity) > fromS;
    });
  }

  /** Returns how many tasks of a job have ended `done`. */
  doneCount(name) {
    const done = this.of('ended', name).filter(({ how }) => how === 'done');
    return new Set(done.map(({ task }) => task)).size;
  }
}

/** Adds minions like those of the small sites to a rig; `workOf` tells what a task does there. */
export async function addMinions(rig, count, workOf, history) {
  for (let i = 0; i < count; i += 1) {
    await rig.addMinion(newMinion(i, workOf, history));
  }
}

export function newMinion(i, workOf, history) {
  return new Minion({
    capacity: { cpu: MINION_MILLI, mem_mb: 128_000, gpu: 0 },
    labels: ['a', `r1-${Math.floor(i / RACK_SIZE) + 1}`],
    zone: 'naivasha-a',
    workOf,
    onEvent: (event) => history.add(event),
  });
}
