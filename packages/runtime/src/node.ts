import type { QueuePolicy } from '@redwingcrank/jobs';
import { Leadership } from './internal/leadership.js';
import { ConfigWatch } from './internal/config-watch.js';
import { FaultLog } from './internal/fault-log.js';
import type { NodeState } from './internal/node-metrics.js';
import { followedWaves } from './internal/wave-view.js';
import { WorkFollower } from './internal/work-follower.js';
import { WorkTable, shownState } from './internal/work-table.js';
import type { QueueRoute } from './cluster-config.js';
import { JobService } from './job-service.js';
import type { NodeLog } from './node-log.js';
import type { NodeSettings } from './node-settings.js';
import type { PlatformPort } from './platform-port.js';
import { delay, steadyMs } from './internal/delay.js';

/**
 * A node whose view is older than this reports that it is not ready for new callers, in
 * milliseconds.
 */
const READY_VIEW_AGE_MS = 1_500;

/** The longest time that a starting node keeps callers waiting, in milliseconds. */
const LOAD_WAIT_MS = 500;

const LOAD_POLL_INTERVAL_MS = 10;

/**
 * One node of the system: accepts jobs, answers queries about them, and schedules while it is
 * leader.
 */
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
      get nextJob() {
        return work.nextJob;
      },
      get isLost() {
        return work.isLost;
      },
      lost$: work.lost$,
    };
    const queues = (): readonly QueuePolicy[] => this.#config.current?.queues ?? [];
    this.jobs = new JobService(view, port.jobLog, log, queues, settings.maxRecordBytes);
  }

  start(): void {
    this.#run('config', this.#config.follower.run());
    this.#run('work', this.#work.run());
    this.#run('leadership', this.#leadership.run());
  }

  /** Whether new callers should be sent to this node. */
  get isReady(): boolean {
    if (this.#isStopping || this.#config.current === undefined) return false;
    // The node accepts no jobs until a read succeeds, so new callers should use another node.
    if (this.#work.isLost) return false;
    return steadyMs() - this.#work.completeAsOfMs < READY_VIEW_AGE_MS;
  }

  /**
   * Waits briefly until the node has read what it needs to answer callers. Otherwise a caller that
   * connects during the start would be rejected for a second although the node needs only some more
   * milliseconds.
   */
  async whenLoaded(): Promise<void> {
    const { follower } = this.#config;
    const endMs = steadyMs() + LOAD_WAIT_MS;
    const isComplete = (): boolean => this.#work.completeAsOfMs > -Infinity && follower.isLoaded;
    while (steadyMs() < endMs && !isComplete()) {
      await delay(LOAD_POLL_INTERVAL_MS, new AbortController().signal);
    }
  }

  get hasConfig(): boolean {
    return this.#config.current !== undefined;
  }

  /**
   * Whether the node may report that a queue is not configured. A caller treats that answer as
   * final, and operators may have added the queue after an old view was read. Known queues are
   * served even with an old view: otherwise an outage of only the operators' records would stop all
   * jobs.
   */
  get mayDenyQueue(): boolean {
    return this.configAgeMs < this.#configApplyMs;
  }

  /** How long ago the configuration was last known to be up to date, in milliseconds. */
  get configAgeMs(): number {
    return steadyMs() - this.#config.follower.completeAsOfMs;
  }

  /** Returns the configured queue of this name; undefined if there is none. */
  queue(name: string): QueueRoute | undefined {
    return this.#config.current?.queues.find((queue) => queue.name === name);
  }

  /** The state of the node for operators. */
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
      evacuationAgesMs: this.#config.evacuations.ages,
      evacuatedRuns: this.#leadership.evacuatedRuns,
      waves: this.#leadership.waves ?? followedWaves(this.#config.waves, this.#table),
    };
  }

  get maxBodyBytes(): number {
    return this.#config.current?.maxBodyBytes ?? 0;
  }

  route(host: string, path: string): QueueRoute | undefined {
    return this.#config.route(host, path);
  }

  /** Resigns leadership; the node continues to answer callers until the process ends. */
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
