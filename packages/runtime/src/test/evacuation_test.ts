import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import type { Order, WorkerEntry } from '@redwingcrank/jobs';
import { PLAIN_STEP } from '@redwingcrank/jobs';
import type { OrderResult, WorkerAddress } from '../task-workers.js';
import type { EvacuationRecord } from '../cluster-config.js';
import type { KeyedRecord } from '../keyed-log.js';
import type { LogFields } from '../node-log.js';
import { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { encodeJob } from '../internal/job-record.js';
import { steadyMs } from '../internal/delay.js';
import { jobKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { CONFIG } from './config-fixtures.js';
import { WORKER_ENTRY } from './fixtures.js';
import { HealthyWorkers } from './healthy-workers.js';
import { LONG_RUNNING_JOB } from './job-fixtures.js';
import { MemoryLog } from './memory-log.js';
import { platformPort } from './port-fixtures.js';
import { RunningTerm } from './running-term.js';
import { pause, waitUntil } from './wait.js';

/** How long after an evacuation a task may still start there, in milliseconds. */
const EVACUATE_MS = 5_000;

/** How long after an evacuation that can be read starts should have ended, in milliseconds. */
const GOAL_MS = 1_000;

const JOB_INTERVAL_MS = 50;

function decodeEvacuation({ key, value, fault }: KeyedRecord): EvacuationRecord | undefined {
  if (!key.startsWith('evacuate ')) return undefined;
  const dataCentre = key.slice('evacuate '.length);
  if (fault) return { dataCentre, content: { fault } };
  return { dataCentre, content: { value: value === undefined ? 'deleted' : 'present' } };
}

/** Workers that record the latest time at which a start of theirs may take effect. */
class RecordingWorkers extends HealthyWorkers {
  readonly latestMs = new Map<string, number>();

  readonly sentMs = new Map<string, number>();

  override async order(
    { id }: WorkerAddress,
    { kind }: Order,
    _token = 0,
    deadlineMs = 0,
  ): Promise<OrderResult> {
    if (kind === 'start') {
      this.latestMs.set(id, Math.max(deadlineMs, this.latestMs.get(id) ?? 0));
      this.sentMs.set(id, steadyMs());
    }
    return { outcome: 'done', reason: '' };
  }
}

/** A leader with a worker in each of two data centres, to which jobs are submitted all the time. */
class Fleet {
  readonly workers = new RecordingWorkers();

  readonly operatorLog = new MemoryLog();

  readonly #term: RunningTerm;

  constructor(t: TestContext, evacuated: readonly string[] = []) {
    const workerLog = new MemoryLog();
    for (const dataCentre of ['a', 'b']) {
      const capacity = { cpuMilli: 1_000_000, memMb: 1_000_000, gpus: 0 };
      const value = JSON.stringify({
        ...WORKER_ENTRY,
        id: `w-${dataCentre}`,
        dataCentre,
        capacity,
      });
      workerLog.records.push({ key: `w-${dataCentre}`, value });
    }
    this.operatorLog.records.push({ key: 'config', value: 'x' });
    for (const name of evacuated) this.evacuate(name);
    const table = new WorkTable('n1');
    const port: PlatformPort = platformPort({
      workerLog,
      operatorLog: this.operatorLog,
      workers: this.workers,
      decodeWorker: ({ value }) => ({ value: JSON.parse(value!) as WorkerEntry }),
      decodeConfig: ({ key }) => (key === 'config' ? { value: CONFIG } : undefined),
      decodeEvacuation,
    });
    this.#term = new RunningTerm(port, table);
    let count = 0;
    const submissions = setInterval(() => {
      count += 1;
      const id = `${count}`.padStart(16, '0');
      const job = { ...LONG_RUNNING_JOB, id, steps: [{ ...PLAIN_STEP, cpuMilli: 100 }] };
      table.apply({ key: jobKey(id), value: encodeJob(job) });
    }, JOB_INTERVAL_MS);
    t.after(async () => {
      clearInterval(submissions);
      this.operatorLog.isBlocked = false;
      await this.#term.stop();
    });
  }

  evacuate(dataCentre: string): void {
    this.operatorLog.records.push({ key: `evacuate ${dataCentre}`, value: '{}' });
  }

  takeBack(dataCentre: string): void {
    this.operatorLog.records.push({ key: `evacuate ${dataCentre}`, value: undefined });
  }
}

test('no start is sent into a data centre a second after its evacuation, until it has ended', async (t) => {
  const fleet = new Fleet(t);
  const { sentMs } = fleet.workers;
  await waitUntil(() => sentMs.size === 2);
  const evacuatedMs = steadyMs();
  fleet.evacuate('a');
  await pause(GOAL_MS + 500);
  assert.ok(sentMs.get('w-a')! < evacuatedMs + GOAL_MS, 'a start was sent too late');
  assert.ok(sentMs.get('w-b')! > evacuatedMs + GOAL_MS, 'no start was sent elsewhere');
  fleet.takeBack('a');
  await waitUntil(() => sentMs.get('w-a')! > evacuatedMs + GOAL_MS);
});

test('a leader that cannot read an evacuation sends no start that could begin after the bound', async (t) => {
  // Guards against a leader that ignores how old its view of the operators' requests is: its other
  // views are up to date, and it would start tasks in the data centre until it reads again.
  const fleet = new Fleet(t);
  await waitUntil(() => fleet.workers.sentMs.size === 2);
  fleet.operatorLog.isBlocked = true;
  const evacuatedMs = steadyMs();
  fleet.evacuate('a');
  await pause(EVACUATE_MS + 500);
  const lateMs = fleet.workers.latestMs.get('w-a')! - (evacuatedMs + EVACUATE_MS);
  assert.ok(lateMs < 0, `a start may begin ${lateMs} ms too late`);
});

test('a leader that begins during an evacuation sends no start into the data centre', async (t) => {
  const fleet = new Fleet(t, ['a']);
  await waitUntil(() => fleet.workers.sentMs.has('w-b'));
  await pause(300);
  assert.ok(!fleet.workers.sentMs.has('w-a'));
});

/** A watch of the operators' log, with the states that it has logged. */
function watch(): { config: ConfigWatch; deliver: (rec: KeyedRecord) => void; lines: LogFields[] } {
  const log = new NodeLog('n1', 'silent');
  const lines: LogFields[] = [];
  log.observe((event, fields) => {
    if (event === 'evacuation' || event.startsWith('record')) lines.push(fields);
  });
  const config = new ConfigWatch(platformPort({ decodeEvacuation }), log);
  const deliver = (rec: KeyedRecord): void =>
    config.follower.messages$.next({ kind: 'record', rec });
  return { config, deliver, lines };
}

const UNREADABLE = { reason: 'unreadable', field: 'value' } as const;

test('an unusable evacuation record is logged and changes nothing', () => {
  // Guards against a broken record that ends an evacuation, or begins one.
  const { config, deliver, lines } = watch();
  deliver({ key: 'evacuate a', value: undefined, fault: UNREADABLE });
  assert.deepEqual([...config.evacuations.current], []);
  assert.equal(lines.length, 1);
  deliver({ key: 'evacuate a', value: '{}' });
  deliver({ key: 'evacuate a', value: undefined, fault: UNREADABLE });
  assert.deepEqual([...config.evacuations.current], ['a']);
});

test('an evacuation whose record is gone from a reloaded log has ended', () => {
  // The store has dropped its history, and with it the deletion of the record.
  const { config, deliver } = watch();
  const { messages$ } = config.follower;
  deliver({ key: 'evacuate a', value: '{}' });
  deliver({ key: 'evacuate b', value: '{}' });
  messages$.next({ kind: 'reset' });
  deliver({ key: 'evacuate b', value: undefined, fault: UNREADABLE });
  assert.deepEqual([...config.evacuations.current], ['a', 'b']);
  messages$.next({ kind: 'caught-up' });
  assert.deepEqual([...config.evacuations.current], ['b']);
});
