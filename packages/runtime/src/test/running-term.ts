import assert from 'node:assert/strict';
import { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { steadyMs } from '../internal/delay.js';
import { LeaderTerm } from '../internal/leader-term.js';
import { encodeLeader, leaderKey } from '../internal/work-records.js';
import type { WorkTable } from '../internal/work-table.js';
import { UP_TO_DATE_JOBS, nodeSettings } from './fixtures.js';
import { leaderRecord } from './leader-record.js';

/**
 * A term of node `n1` as leader, started when the node has just read its own claim, with the
 * configuration that it follows.
 */
export class RunningTerm {
  readonly #term: LeaderTerm;

  readonly #config: ConfigWatch;

  readonly #running: Promise<void>;

  constructor(port: PlatformPort, table: WorkTable, work = UP_TO_DATE_JOBS) {
    const record = leaderRecord();
    table.apply({ key: leaderKey(), value: encodeLeader(record) });
    const log = new NodeLog('n1', 'silent');
    this.#config = new ConfigWatch(port, log);
    this.#config.follower.run().catch(assert.fail);
    const claim = { epoch: record.epoch, sequence: 7, sentMs: steadyMs() };
    const settings = nodeSettings('n1');
    this.#term = new LeaderTerm(record, claim, {
      port,
      settings,
      log,
      table,
      work,
      config: this.#config,
    });
    this.#running = this.#term.run();
  }

  async stop(): Promise<void> {
    this.#term.stop();
    this.#config.follower.stop();
    await this.#running;
  }
}
