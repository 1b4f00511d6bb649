import { Leadership } from './internal/leadership.js';
import { ConfigWatch } from './internal/config-watch.js';
import { FaultLog } from './internal/fault-log.js';
import type { NodeState } from './internal/node-metrics.js';
import { WorkFollower } from './internal/work-follower.js';
import { WorkTable, shownState } from './internal/work-table.js';
import type { QueueRoute } from './cluster-config.js';
import { JobService } from './job-service.js';
import type { NodeLog } from './node-log.js';
import type { NodeSettings } from './node-settings.js';
import type { PlatformPort } from './platform-port.js';
import { delay, steadyMs } from './internal/delay.js';

/** A node whose view is older than this had better get no new callers, in milliseconds. */
const READY_VIEW_AGE_MS = 1_500;

/** A starting node keeps callers waiting for so long at most, in milliseconds. */
const LOAD_WAIT_MS = 500;

const LOAD_LOOK_MS = 10;

/** One node of the system: takes jobs, answers for them, and schedules when the role falls to it. */
export class Node {
  readonly #log: NodeLog;

  readonly #faults: FaultLog;

  readonly #table: WorkTable;

  readonly #config: ConfigWatch;

  readonly #work: WorkFollower;

  readonly #leadership: Leadership;

  readonly jobs: JobService;

  readonly #configApplyMs: number;

  #isStopping = false;

  constructor(port: PlatformPort, settings: NodeSettings, log: NodeLog) {
    this.#log = log;
    this.#configApplyMs = settings.configApplyMs;
    this.#faults = new FaultLog(log);
    this.#table = new WorkTable(settings.node, this.#faults);
    this.#config = new ConfigWatch(port, log, this.#faults);
    this.#work = new WorkFollower(port, log, this.#table);
    this.#leadership = new Leadership(
      port,
      settings,
      log,
      this.#table,
      this.#work,
      this.#config,
      this.#faults,
    );
    const { table, work } = { table: this.#table, work: this.#work };
    const view = {
      table,
      get completeAsOfMs() {
        return work.completeAsOfMs;
      },
      get isLost() {
        return work.isLost;
      },
      lost$: work.lost$,
    };
    this.jobs = new JobService(view, port.jobLog, log);
  }

  start(): void {
    this.#run('config', this.#config.follower.run());
    this.#run('work', this.#work.run());
    this.#run('leadership', this.#leadership.run());
  }

  /** Whether new callers should be sent here. */
  get isReady(): boolean {
    if (this.#isStopping || this.#config.current === undefined) return false;
    // It takes no job until a read succeeds again, so new callers had better go elsewhere.
    if (this.#work.isLost) return false;
    return steadyMs() - this.#work.completeAsOfMs < READY_VIEW_AGE_MS;
  }

  /**
   * Waits, for a moment at most, until the node has read what it needs to answer callers. A caller
   * who comes while it starts would else be sent away for a second, for want of some milliseconds.
   */
  async whenLoaded(): Promise<void> {
    const { follower } = this.#config;
    const endMs = steadyMs() + LOAD_WAIT_MS;
    const isComplete = (): boolean => this.#work.completeAsOfMs > -Infinity && follower.isLoaded;
    while (steadyMs() < endMs && !isComplete()) {
      await delay(LOAD_LOOK_MS, new AbortController().signal);
    }
  }

  get hasConfig(): boolean {
    return this.#config.current !== undefined;
  }

  /**
   * Whether what is not configured may be denied. A caller takes that for final, and by a view as old
   * as this the operators may have added it in time. Known queues are served by an old view all the
   * same: else an outage of the operators' records alone would be one of all jobs.
   */
  get mayDenyQueue(): boolean {
    return this.configAgeMs < this.#configApplyMs;
  }

  /** How long ago the configuration was known to be the newest, in milliseconds. */
  get configAgeMs(): number {
    return steadyMs() - this.#config.follower.completeAsOfMs;
  }

  /** The queue of this name, as the operators have configured it; undefined where they have not. */
  queue(name: string): QueueRoute | undefined {
    return this.#config.current?.queues.find((queue) => queue.name === name);
  }

  /** What operators want to know of the node at a glance. */
  get state(): NodeState {
    const jobs = new Map<string, number>();
    for (const job of this.#table.jobs.values()) {
      const state = shownState(job);
      jobs.set(state, (jobs.get(state) ?? 0) + 1);
    }
    const viewAgeMs = steadyMs() - this.#work.completeAsOfMs;
    return {
      isLeading: this.#leadership.isLeading,
      viewAgeMs,
      jobs,
      faults: this.#faults.counts,
    };
  }

  get maxBodyBytes(): number {
    return this.#config.current?.maxBodyBytes ?? 0;
  }

  route(host: string, path: string): QueueRoute | undefined {
    return this.#config.route(host, path);
  }

  /** Hands the scheduling role on; the node goes on answering callers until the process ends. */
  async retire(): Promise<void> {
    this.#isStopping = true;
    await this.#leadership.stop();
  }

  #run(part: string, running: Promise<void>): void {
    running.catch((err) => {
      const reason = err instanceof Error ? (err.stack ?? err.message) : String(err);
      this.#log.emit('error', 'part-failed', { part, reason });
    });
  }
}
