import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import type { Machine, MaintenanceOutcome, WaveRequest } from '@redwingcrank/jobs';
import { ConfigWatch } from '../internal/config-watch.js';
import { steadyMs } from '../internal/delay.js';
import { createScheduler } from '../internal/term-scheduler.js';
import { Upkeep } from '../internal/upkeep.js';
import { WorkTable } from '../internal/work-table.js';
import { MachinePort, MachinesUnavailableError } from '../machine-port.js';
import type { ListedMachines, MaintenanceRequest, WavePort } from '../machine-port.js';
import type { KeyedRecord } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import { CONFIG } from './config-fixtures.js';
import { WORKER_ENTRY, nodeSettings } from './fixtures.js';
import { HealthyWorkers } from './healthy-workers.js';
import { MemoryLog } from './memory-log.js';
import { platformPort } from './port-fixtures.js';
import { RunningTerm } from './running-term.js';
import { StaticLog } from './static-log.js';
import { pause, waitUntil } from './wait.js';

/** Machines whose maintenance takes no time. */
class FakeMachines extends MachinePort {
  readonly machines = new Map<string, Machine>();

  readonly calls: (MaintenanceRequest & { readonly atMs: number })[] = [];

  outcomes: MaintenanceOutcome[] = [];

  lists = 0;

  isAway = false;

  onCall: (machine: string) => void = () => {};

  constructor(...names: string[]) {
    super();
    for (const name of names) this.machines.set(name, { name, state: 'up', worker: `${name}-0` });
  }

  override async list(): Promise<ListedMachines> {
    this.lists += 1;
    if (this.isAway) throw new MachinesUnavailableError('away');
    return { machines: [...this.machines.values()], calls: 1 };
  }

  override async upkeep(req: MaintenanceRequest): Promise<MaintenanceOutcome> {
    this.onCall(req.machine);
    this.calls.push({ ...req, atMs: steadyMs() });
    const outcome = this.outcomes.shift() ?? 'done';
    const { machine: name } = req;
    if (outcome === 'done') this.machines.set(name, { name, state: 'up', worker: `${name}-1` });
    return outcome;
  }
}

function wavePort(machines: FakeMachines | undefined, stateLog: StaticLog): WavePort {
  return {
    decode({ key, value, fault }: KeyedRecord) {
      if (!key.startsWith('wave ')) return undefined;
      const wave = Number(key.slice('wave '.length));
      if (fault) return { wave, content: { fault } };
      const content = value === undefined ? 'deleted' : (JSON.parse(value) as WaveRequest);
      return { wave, content: { value: content } };
    },
    encodeState: (wave, state) => ({ key: `${wave}`, value: state }),
    stateLog,
    ...(machines && { machines }),
  };
}

const requestOf = (...machines: string[]): string =>
  JSON.stringify({ machines, durationMs: 500, maxCount: 1 });

/** The upkeep of a term without rounds of its own, whose records are stored when the test says so. */
class Term {
  readonly states = new StaticLog();

  readonly table = new WorkTable('n1');

  readonly events: string[] = [];

  readonly config: ConfigWatch;

  readonly upkeep: Upkeep;

  isFenced = false;

  confirmedAgoMs = 0;

  constructor(machines: FakeMachines | undefined, stored?: string) {
    const log = new NodeLog('n1', 'silent');
    log.observe((event) => this.events.push(event));
    const port = platformPort({ waves: wavePort(machines, this.states) });
    this.config = new ConfigWatch(port, log);
    if (stored !== undefined) this.table.apply({ key: 'u/1', value: stored });
    this.upkeep = new Upkeep({
      port: port.waves!,
      // The next leader may call after 1.1 s.
      settings: { ...nodeSettings('n1'), machineLeaseMs: 0 },
      log,
      table: this.table,
      waves: this.config.waves,
      scheduler: createScheduler(log, 6_000, this.table.formerLeases, () => ({})),
      token: 7,
      confirmedMs: () => steadyMs() - this.confirmedAgoMs,
      mayCall: () => true,
      fenced: () => {
        this.isFenced = true;
      },
      workerEnded: () => {},
      wake: () => {},
      signal: new AbortController().signal,
    });
  }

  deliver(rec: KeyedRecord): void {
    const { messages$ } = this.config.follower;
    messages$.next({ kind: 'record', rec });
    messages$.next({ kind: 'caught-up' });
  }

  /** Runs rounds until the condition holds. */
  async until(condition: () => boolean): Promise<void> {
    await waitUntil(() => {
      for (const rec of this.upkeep.round(steadyMs())) this.table.apply(rec);
      this.upkeep.stored();
      return condition();
    });
  }

  /** Runs rounds for a time. */
  async for(ms: number): Promise<void> {
    const endMs = steadyMs() + ms;
    await this.until(() => steadyMs() >= endMs);
  }
}

const REQUEST = { key: 'wave 1', value: requestOf('m1', 'm2') };

test('a term serves a wave: no call without a record of it, and the first one after the lease', async (t: TestContext) => {
  const machines = new FakeMachines('m1', 'm2');
  const [operatorLog, workLog, states] = [new MemoryLog(), new MemoryLog(), new StaticLog()];
  operatorLog.records.push({ key: 'config', value: 'x' });
  const port = platformPort({
    operatorLog,
    workLog,
    workerLog: new MemoryLog(),
    workers: new HealthyWorkers(),
    decodeWorker: () => ({ value: WORKER_ENTRY }),
    decodeConfig: ({ key }) => (key === 'config' ? { value: CONFIG } : undefined),
    waves: wavePort(machines, states),
  });
  const recorded: boolean[] = [];
  machines.onCall = (name) =>
    recorded.push(
      workLog.records.some(({ key, value }) => key === 'u/1' && value?.includes(`["${name}"`)),
    );
  const beganMs = steadyMs();
  const term = new RunningTerm(port, new WorkTable('n1'));
  t.after(() => term.stop());
  await pause(1_000);
  assert.equal(machines.lists, 0);
  operatorLog.records.push(REQUEST);
  await pause(2_900);
  await waitUntil(() => machines.calls.length > 0);
  assert.ok(machines.calls[0]!.atMs - beganMs > 3_000 + 1_000);
  assert.deepEqual(recorded, [true], 'a call was sent before its record');
  await waitUntil(() => states.writes.length === 2);
  assert.deepEqual(
    states.writes.map(({ value }) => value),
    ['running', 'completed'],
  );
  const { lists } = machines;
  await pause(1_500);
  assert.ok(machines.lists <= lists + 2, 'machines are listed without an open wave');
});

test('a later leader calls what was called without a known result, and not what is done', async () => {
  const machines = new FakeMachines('m1', 'm2', 'm3');
  const stored = { sinceMs: Date.now(), called: [['m2', 'm2-0', 'm2-0', 6]], done: ['m3'] };
  const term = new Term(machines, JSON.stringify({ ...stored, dropped: [] }));
  term.deliver({ key: 'wave 1', value: requestOf('m1', 'm2', 'm3') });
  await term.until(() => term.states.writes.at(-1)?.value === 'completed');
  assert.deepEqual(
    machines.calls.map(({ machine, token }) => [machine, token]),
    [
      ['m2', 7],
      ['m1', 7],
    ],
  );
});

test('a leader whose newest confirmed record is a second old makes no call', async () => {
  // The next leader counts on it: two nodes would call one machine within the lease.
  const machines = new FakeMachines('m1');
  const term = new Term(machines);
  term.confirmedAgoMs = 1_001;
  term.deliver(REQUEST);
  await term.for(1_600);
  assert.equal(machines.calls.length, 0);
  term.confirmedAgoMs = 0;
  await term.until(() => machines.calls.length === 1);
});

test('a call that a later leader has fenced ends the term', async () => {
  const machines = new FakeMachines('m1', 'm2');
  machines.outcomes = ['fenced'];
  const term = new Term(machines);
  term.deliver(REQUEST);
  await term.until(() => term.isFenced);
});

test('after a call beyond the rate no machine is called for a while', async () => {
  const machines = new FakeMachines('m1', 'm2');
  machines.outcomes = ['limited'];
  const term = new Term(machines);
  term.deliver({ key: 'wave 1', value: requestOf('m1') });
  await term.until(() => machines.calls.length === 1);
  term.deliver({ key: 'wave 2', value: requestOf('m2') });
  await term.until(() => machines.calls.length === 2);
  assert.ok(machines.calls[1]!.atMs - machines.calls[0]!.atMs > 190);
});

test('a wave is completed only once the record of its machines is stored', async () => {
  // Without that record a later leader would take the state back.
  const machines = new FakeMachines('m1', 'm2');
  const term = new Term(machines);
  term.deliver(REQUEST);
  await term.until(() => machines.calls.length === 2);
  await pause(20);
  assert.equal(term.upkeep.views[0]?.done, 2);
  const states = (): unknown[] => term.states.writes.map(({ value }) => value);
  term.upkeep.round(steadyMs());
  await pause(20);
  assert.deepEqual(states(), ['running']);
  term.upkeep.stored();
  await waitUntil(() => states().length === 2);
});

test('while machines cannot be listed none is called and none is dropped', async () => {
  const machines = new FakeMachines('m1');
  machines.isAway = true;
  const term = new Term(machines);
  term.deliver(REQUEST);
  await term.for(2_500);
  assert.equal(machines.calls.length, 0);
  assert.ok(machines.lists <= 4, `${machines.lists} reads in 2.5 s`);
  assert.equal(term.events.filter((event) => event === 'machine-list-lost').length, 1);
  machines.isAway = false;
  await term.until(() => machines.calls.length === 1);
});

test('an unusable record changes nothing, and a deleted one ends the wave', async () => {
  const machines = new FakeMachines('m1', 'm2');
  const stored = { sinceMs: Date.now(), called: [], done: ['m1'], dropped: [] };
  const term = new Term(machines, JSON.stringify(stored));
  const fault = { reason: 'unreadable', field: 'value' } as const;
  term.deliver({ ...REQUEST, value: undefined, fault });
  await term.for(50);
  assert.deepEqual([machines.lists, term.table.upkeep.size], [0, 1]);
  term.deliver(REQUEST);
  term.deliver({ ...REQUEST, value: undefined, fault });
  await term.until(() => machines.lists > 0);
  term.deliver({ ...REQUEST, value: undefined });
  await term.for(50);
  assert.deepEqual([term.upkeep.views.length, term.table.upkeep.size], [0, 0]);
});

test('a stored record of calls that cannot be read is ignored and replaced', async () => {
  const machines = new FakeMachines('m1', 'm2');
  const term = new Term(machines, '{"sinceMs":1,"called":[["m1"]],"done":[],"dropped":[]}');
  assert.equal(term.table.upkeep.size, 0);
  term.deliver(REQUEST);
  await term.until(() => term.table.upkeep.get(1)?.done.length === 2);
});

test('without a machine service a wave stays running, and that is logged once', async () => {
  const term = new Term(undefined);
  term.deliver(REQUEST);
  await term.for(50);
  assert.deepEqual(term.states.writes, [{ key: '1', value: 'running' }]);
  assert.equal(term.events.filter((event) => event === 'wave-not-servable').length, 1);
});
