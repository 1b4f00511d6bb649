import { ControlFold } from '@redwingcrank/decisions';
import type { ControlAction, ListedHost, WorkerReport } from '@redwingcrank/protocol';
import { readManifest, workerReportSchema } from '@redwingcrank/protocol';
import type { Point } from './slope.js';
import { costOf, slopeOf } from './slope.js';

/** A figure of one more of something. */
export interface CostRow {
  readonly what: string;
  readonly figure: number;
  readonly unit: string;
}

const TASK_COUNTS = [2_500, 5_000, 10_000];
const HOST_COUNTS = [260, 520, 1_040];
const TASKS_PER_HOST = 20;
/** As many as one append holds while 113 starts a second meet passes every 50 ms. */
const ACTIONS_PER_RECORD = 10;
const RESOURCES = { cpu: 1, memoryMb: 1_000, accelerators: 0 };
const CAPACITY = { cpu: 1_000_000, memoryMb: 1_000_000_000, accelerators: 0 };
const HOLDER = 'rift-a-n1/0263e301-0da4-4225-8add-a6553c4ff290';

const hostIdOf = (i: number): string => `rift-a-w${i}`;
const taskIdOf = (i: number): string => `rift-a/campaign-naivasha/${i}`;

function hostActions(count: number): ControlAction[] {
  return Array.from({ length: count }, (_, i) => ({
    type: 'host',
    hostId: hostIdOf(i),
    rack: `rift-a-r${i % 87}`,
    address: `10.1.${i % 250}.7:7100`,
    capacity: CAPACITY,
    state: 'live',
  }));
}

function* lifeOf(i: number): Generator<ControlAction> {
  const ref = { taskId: taskIdOf(i), attempt: 1 };
  const hostId = hostIdOf(i % 260);
  const owner = 'campaign-naivasha';
  yield { type: 'bind', ...ref, kind: 'job', owner, hostId, resources: RESOURCES };
  yield { type: 'running', ...ref, endpoint: '10.1.0.7:30001' };
  yield { type: 'ended', ...ref, outcome: 'completed', proof: 'worker' };
}

/** The records of a stream as the log gives them: JSON text. */
function streamOf(actions: readonly ControlAction[]): string[] {
  const records: unknown[] = [{ type: 'claim', id: 'claim', term: 1, holder: HOLDER }];
  for (let i = 0; i < actions.length; i += ACTIONS_PER_RECORD) {
    const part = actions.slice(i, i + ACTIONS_PER_RECORD);
    const id = `b1a4c1de-8add-4225-a655-${String(i).padStart(12, '0')}`;
    records.push({ type: 'batch', id, term: 1, holder: HOLDER, actions: part });
  }
  return records.map((record) => JSON.stringify(record));
}

function foldOf(stream: readonly string[]): ControlFold {
  const fold = new ControlFold();
  stream.forEach((text, offset) => {
    const { voided } = fold.apply(offset, JSON.parse(text));
    if (voided.length > 0) throw new Error(voided[0]);
  });
  return fold;
}

function foldRows(): CostRow[] {
  const hostPoints = HOST_COUNTS.map((size): Point => {
    const stream = streamOf(hostActions(size));
    return { size, cost: costOf(() => foldOf(stream)).bytes };
  });
  const taskCosts = TASK_COUNTS.map((size) => {
    const starts = Array.from({ length: size }, (_, i) => [...lifeOf(i)].slice(0, 2)).flat();
    const stream = streamOf([...hostActions(260), ...starts]);
    return { size, ...costOf(() => foldOf(stream)) };
  });
  const whole = Array.from({ length: 1_000 }, (_, i) => [...lifeOf(i)]).flat();
  const wire = streamOf(whole).reduce((sum, text) => sum + text.length, 0) / 1_000;
  const memory = slopeOf(taskCosts.map(({ size, bytes }) => ({ size, cost: bytes })));
  const time = slopeOf(taskCosts.map(({ size, micros }) => ({ size, cost: micros })));
  return [
    { what: 'fold: memory of a host', figure: slopeOf(hostPoints), unit: 'B' },
    { what: 'fold: memory of a task', figure: memory, unit: 'B' },
    { what: 'fold: time of bind and running of a task', figure: time, unit: 'us' },
    { what: 'control stream: bind, running and ended of a task', figure: wire, unit: 'B' },
  ];
}

function reportOf(tasks: number): WorkerReport {
  const refs = Array.from({ length: tasks }, (_, i) => ({ taskId: taskIdOf(i), attempt: 1 }));
  return {
    hostId: hostIdOf(1),
    incarnation: '0263e301-0da4-4225-8add-a6553c4ff290',
    heartbeat: 123_456_789,
    orphans: false,
    tasks: refs.map((ref) => ({ ...ref, state: 'running', endpoint: '10.1.0.7:30001' })),
    usage: refs.map((ref) => ({ ...ref, cpu: 1.25, memoryMb: 812.5, ageMs: 2_000 })),
  };
}

function hostListRow(): CostRow {
  const listed: ListedHost = {
    hostId: hostIdOf(0),
    dataCentre: 'rift-a',
    rack: 'rift-a-r0',
    address: '10.1.0.7:7100',
    capacity: { cpu: 32, memoryMb: 125_000, accelerators: 0 },
    state: 'live',
  };
  return { what: 'host list: one host', figure: JSON.stringify(listed).length, unit: 'B' };
}

const REPORTS = 2_000;

function reportRows(): CostRow[] {
  const text = JSON.stringify(reportOf(TASKS_PER_HOST));
  const { micros } = costOf(() => {
    let last: WorkerReport | undefined;
    for (let i = 0; i < REPORTS; i += 1) last = workerReportSchema.parse(JSON.parse(text));
    return last;
  });
  return [
    { what: `worker report of ${TASKS_PER_HOST} tasks`, figure: text.length, unit: 'B' },
    { what: 'worker report: time to parse', figure: micros / REPORTS, unit: 'us' },
  ];
}

const SERVICES_PER_TEAM = 5;
const JOBS_PER_TEAM = 45;

function manifestOf(teams: number): unknown {
  const names = Array.from({ length: teams }, (_, i) => `team-${i}`);
  const dataCentres = Array.from({ length: 23 }, (_, i) => `dc-${i}`);
  const replicas = Object.fromEntries(dataCentres.slice(0, 4).map((dc) => [dc, 9]));
  return {
    apiVersion: 'redwingcrank/v1',
    version: 1,
    replaces: 0,
    dataCentres,
    teams: names.map((name) => ({ name, quota: { cpu: 800, memoryMb: 3_000_000 } })),
    services: names.flatMap((team) =>
      Array.from({ length: SERVICES_PER_TEAM }, (_, i) => ({
        name: `${team}-service-${i}`,
        team,
        pathPrefix: `/${team}-${i}`,
        replicas,
        resources: { cpu: 4, memoryMb: 16_000 },
        requestRules: [{ method: 'POST', path: '/holds', idempotent: false }],
      })),
    ),
    jobs: names.flatMap((team, t) =>
      Array.from({ length: JOBS_PER_TEAM }, (_, i) => ({
        name: `${team}-job-${i}`,
        team,
        dataCentre: `dc-${(t + i) % 23}`,
        tasks: 8,
        resources: { cpu: 2, memoryMb: 8_000 },
        deadline: '2027-03-01T11:00:00Z',
      })),
    ),
  };
}

const TEAM_COUNTS = [110, 220, 440];

function manifestRows(): CostRow[] {
  const costs = TEAM_COUNTS.map((teams) => {
    const text = JSON.stringify(manifestOf(teams));
    const read = () => {
      const reading = readManifest(JSON.parse(text));
      if (!reading.ok) throw new Error(reading.faults[0]?.path);
      return reading;
    };
    return { teams, size: text.length, ...costOf(read) };
  });
  return costs.flatMap(({ teams, size, bytes, micros }) => [
    { what: `manifest of ${teams} teams`, figure: size / 1_000, unit: 'kB' },
    { what: `manifest of ${teams} teams: time to read`, figure: micros / 1_000, unit: 'ms' },
    { what: `manifest of ${teams} teams: memory`, figure: bytes / 1_000_000, unit: 'MB' },
  ]);
}

/** The costs of what is computed without a socket. */
export function decisionCosts(): CostRow[] {
  // The first run compiles the schemas and is not measured.
  foldRows();
  return [...foldRows(), ...reportRows(), hostListRow(), ...manifestRows()];
}
