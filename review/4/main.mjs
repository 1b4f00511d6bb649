import { setTimeout as sleep } from 'node:timers/promises';
import {
  MINION_MILLI,
  TaskHistory,
  addMinions,
  isDone,
  newId,
  routeOf,
} from '../standins-2/deployment.mjs';
import { Rig } from '../standins-2/rig.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const MINIONS = 12;

const NODES = 3;

const TRAFFIC_S = 30;

/** When the report is handed in, in seconds from the start of the traffic. */
const REPORT_S = 8;

const FINISH_S = 14;

const IDLE_S = 3;

const CHECK_INTERVAL_MS = 500;

const MIN_ACCEPTED = 10;

const CHECK = { workMs: 300, cpu: 1_000 };

const REPORT = { workMs: 20, cpu: 100 };

const REPORT_STEPS = 24;

const QUARTER_MS = 15 * 60_000;

/** The past quarters of an hour that the report covers: 60 days, or six hours. */
const REPORT_RUNS = (HAS_TROUBLE ? 60 * 24 : 6) * 4;

const rig = new Rig(import.meta.dirname);
const history = new TaskHistory(rig);

await rig.startStore([routeOf('booking', 0), routeOf('reports', 2)]);
await addMinions(rig, MINIONS, (_task, spec) => (spec === 'report' ? REPORT : CHECK), history);
await rig.startNodes(NODES);

const accepted = [];
const check = async (i) => {
  const id = newId();
  const steps = [{ count: 2, cpu: CHECK.cpu, mem_mb: 256, estimate_ms: CHECK.workMs }];
  const node = rig.nodes[i % NODES];
  const answer = await rig.call(node, 'POST', `/booking/${id}`, { spec: 'check', steps });
  if (isDone(answer)) accepted.push({ id, atS: rig.nowS });
};

/** Returns a step of the report that runs after the one before it. */
const reportStep = (i) => ({
  count: 1,
  cpu: REPORT.cpu,
  mem_mb: 64,
  estimate_ms: REPORT.workMs,
  ...(i > 0 && { after: [i - 1] }),
});

const report = async () => {
  const job = {
    spec: 'report',
    steps: Array.from({ length: REPORT_STEPS }, (_, i) => reportStep(i)),
    run_count: REPORT_RUNS,
    first_run_ms: Date.now() - REPORT_RUNS * QUARTER_MS,
    interval_ms: QUARTER_MS,
  };
  const answer = await rig.call(rig.nodes[0], 'POST', `/reports/${newId()}`, job);
  if (!isDone(answer)) rig.end(2, 'the report was not accepted');
};

const beganS = rig.nowS;
const calls = [];
let isReportSent = false;
for (let i = 0; rig.nowS - beganS < TRAFFIC_S; i += 1) {
  calls.push(check(i));
  if (!isReportSent && rig.nowS - beganS >= REPORT_S) {
    isReportSent = true;
    calls.push(report());
  }
  await sleep(CHECK_INTERVAL_MS);
}
await Promise.all(calls);
await sleep(FINISH_S * 1_000);

const fromS = rig.nowS;
let mostUsed = 0;
while (rig.nowS - fromS < IDLE_S) {
  let used = 0;
  for (const { usedMilli } of rig.minions) used += usedMilli;
  mostUsed = Math.max(mostUsed, used / (MINIONS * MINION_MILLI));
  await sleep(20);
}
const idle = accepted.filter(
  ({ id }) => history.doneCount(id) < 2 && history.runsBetween(id, fromS, rig.nowS).length === 0,
);
for (const { id } of idle.slice(0, 3)) await rig.call(rig.nodes[1], 'GET', `/booking/${id}`);
const { refused } = rig.store;
rig.record('seen', {
  accepted: accepted.length,
  idle: idle.length,
  mostUsed,
  refusedAppends: refused.length,
  largestRefused: Math.max(0, ...refused.map(({ largest }) => largest)),
});
if (accepted.length < MIN_ACCEPTED) rig.end(2, `only ${accepted.length} jobs were accepted`);
if (idle.length > 0 && mostUsed < 0.5) {
  const percent = Math.round(100 * mostUsed);
  rig.end(
    1,
    `LOST: ${idle.length} of ${accepted.length} accepted jobs had nothing running for ${IDLE_S} s, ` +
      `${FINISH_S} s after the traffic; at most ${percent}% of the capacity was in use`,
  );
}
rig.end(0, `all ${accepted.length} accepted jobs ran`);
