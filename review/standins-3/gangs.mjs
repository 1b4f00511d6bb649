/**
 * What the platform does for gangs: the members work once all of them are present, and end `done`
 * together; once one has ended otherwise, the others are ended `broken`.
 */
export class Gangs {
  #deployment;

  /** The members of each run of a gang that have started: task and minion. */
  #members = new Map();

  #size;

  #workMs;

  constructor(deployment, size, workMs) {
    this.#deployment = deployment;
    this.#size = size;
    this.#workMs = workMs;
  }

  /** Processes an event of a minion. */
  seen({ event, task, run, how, minion }) {
    if (event === 'started') this.#started(task, run, minion);
    else if (event === 'ended' && how !== 'done') this.#ended(task, run);
  }

  #started(task, run, minion) {
    const members = this.#members.get(run) ?? new Map();
    this.#members.set(run, members);
    members.set(task, minion);
    if (members.isBroken) this.#end(members, run, 'broken');
    else if (members.size === this.#size)
      setTimeout(() => this.#end(members, run, 'done'), this.#workMs);
  }

  #ended(task, run) {
    const members = this.#members.get(run);
    members.delete(task);
    members.isBroken = true;
    // The news of an end takes a moment to the other members.
    setTimeout(() => this.#end(members, run, 'broken'), 50);
  }

  #end(members, run, how) {
    for (const [task, minion] of members)
      this.#deployment.tell(minion, { command: 'end', task, run, how });
  }
}
