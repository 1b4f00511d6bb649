/** How long a member waits for the others, in milliseconds: the sample's `gang_timeout_ms`. */
const GANG_TIMEOUT_MS = 3_000;

/** How long it takes until a member learns that another one has ended, in milliseconds. */
const BREAK_MS = 100;

/**
 * The members of gangs on all minions. They work from the moment when all of one run are present,
 * and end together; a member that ends otherwise breaks the others.
 */
export class Gangs {
  #size;

  #workMs;

  #runs = new Map();

  constructor(size, workMs) {
    this.#size = size;
    this.#workMs = workMs;
  }

  /** Records that a member is present, or has ended. */
  joined(task, run) {
    const gang = this.#gangOf(task, run);
    gang.members.add(task);
    if (gang.members.size === this.#size) gang.begunMs ??= performance.now();
  }

  left(task, run, how) {
    const gang = this.#gangOf(task, run);
    if (how !== 'done') gang.brokenMs ??= performance.now() + BREAK_MS;
  }

  /** Whether all members are present, or were. */
  hasBegun(task, run) {
    return this.#gangOf(task, run).begunMs !== undefined;
  }

  /** Returns how a member ends now; undefined while it goes on. */
  endOf(task, run, startedMs, fails) {
    const { begunMs, brokenMs = Infinity } = this.#gangOf(task, run);
    const nowMs = performance.now();
    if (nowMs >= brokenMs) return 'broken';
    if (begunMs === undefined) return nowMs - startedMs > GANG_TIMEOUT_MS ? 'alone' : undefined;
    if (nowMs - begunMs < this.#workMs) return undefined;
    return fails ? 'failed' : 'done';
  }

  #gangOf(task, run) {
    const name = `${task.slice(0, task.lastIndexOf('.'))} ${run}`;
    const known = this.#runs.get(name) ?? { members: new Set() };
    this.#runs.set(name, known);
    return known;
  }
}
