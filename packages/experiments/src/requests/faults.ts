import type { DemoPlatform, DemoWorker } from '@redwingcrank/standins';
import type { ExperimentFault } from './experiment-file.js';

const RESTART_GAP_MS = 300;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

async function degrade(worker: DemoWorker, degradation: object): Promise<void> {
  const [ip] = worker.address.split(':');
  const url = `http://${ip}:${worker.faultPort}/degrade`;
  await fetch(url, { method: 'POST', body: JSON.stringify(degradation) });
}

async function setOff(platform: DemoPlatform, fault: ExperimentFault): Promise<void> {
  if (fault.type === 'freeze') {
    platform.workerChildren.get(fault.dataCentre)?.process.kill('SIGSTOP');
  } else if (fault.type === 'rolling-restart') {
    for (const node of platform.nodes) {
      await platform.launcher.stop(node.child);
      await sleep(RESTART_GAP_MS);
      await platform.startNode(node);
      await sleep(fault.pauseMs);
    }
  } else {
    const factor = fault.type === 'slow' ? fault.factor : 1;
    const change = { factor, silent: fault.type === 'silent' };
    // Spread over the data centres: every n-th host.
    const step = Math.floor(platform.workers.length / fault.endpoints);
    const victims = platform.workers.filter((_, i) => i % step === 0).slice(0, fault.endpoints);
    await Promise.all(victims.map((worker) => degrade(worker, change)));
  }
}

/** Sets off the faults at their times and returns when the last one is done. */
export async function runFaults(
  platform: DemoPlatform,
  faults: readonly ExperimentFault[],
): Promise<void> {
  await Promise.all(
    faults.map(async (fault) => {
      await sleep(fault.atMs);
      await setOff(platform, fault);
    }),
  );
}
