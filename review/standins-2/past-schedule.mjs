import { setTimeout as sleep } from 'node:timers/promises';
import { MINION_MILLI, TaskHistory, addMinions, isDone, newId, routeOf } from './deployment.mjs';
import { Rig } from './rig.mjs';

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

/** Returns a step of the report that runs after the one before it. */
function reportStep(i) {
  return {
    count: 1,
    cpu: REPORT.cpu,
    mem_mb: 64,
    estimate_ms: REPORT.workMs,
    ...(i > 0 && { after: [i - 1] }),
  };
}

/**
 * Plays small jobs at a steady rate and, among them, one report with a schedule of which `runs`
 * occurrences, `intervalMs` apart, are due at once. Judges whether the small jobs run, and ends the
 * script.
 */
export async function playPastSchedule(directory, { runs, intervalMs }) {
  const rig = new Rig(directory);
  const history = new TaskHistory(rig);
  const workOf = (_task, spec) => (spec === 'report' ? REPORT : CHECK);
  await rig.startStore([routeOf('booking', 0), routeOf('reports', 2)]);
  await addMinions(rig, MINIONS, workOf, history);
  await rig.startNodes(NODES);

  const accepted = [];
  const check = async (i) => {
    const id = newId();
    const steps = [{ count: 2, cpu: CHECK.cpu, mem_mb: 256, estimate_ms: CHECK.workMs }];
    const node = rig.nodes[i % NODES];
    const answer = await rig.call(node, 'POST', `/booking/${id}`, { spec: 'check', steps });
    if (isDone(answer)) accepted.push({ id, atS: rig.nowS });
  };
  const report = async () => {
    const job = {
      spec: 'report',
      steps: Array.from({ length: REPORT_STEPS }, (_, i) => reportStep(i)),
      run_count: runs,
      first_run_ms: Date.now() - runs * intervalMs,
      interval_ms: intervalMs,
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
    ownEnds: rig.ownEnds,
    refusedAppends: refused.length,
    largestRefused: Math.max(0, ...refused.map(({ largest }) => largest)),
  });
  if (accepted.length < MIN_ACCEPTED) rig.end(2, `only ${accepted.length} jobs were accepted`);
  const ends = rig.ownEnds === 0 ? '' : `; nodes ended by themselves ${rig.ownEnds} times`;
  if (idle.length > 0 && mostUsed < 0.5) {
    const percent = Math.round(100 * mostUsed);
    rig.end(
      1,
      `LOST: ${idle.length} of ${accepted.length} accepted jobs had nothing running for ${IDLE_S} s, ` +
        `${FINISH_S} s after the traffic; at most ${percent}% of the capacity was in use${ends}`,
    );
  }
  rig.end(0, `all ${accepted.length} accepted jobs ran${ends}`);
}
