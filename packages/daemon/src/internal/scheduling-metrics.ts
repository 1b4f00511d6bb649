import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { ControlNode } from '@redwingcrank/decisions';

const SECOND_MS = 1000;

/** Registers the scheduler's metrics. They are read from the fold on collection, without a pass. */
export function registerSchedulingMetrics(registry: Registry, control: ControlNode): void {
  const lostAttempts: Gauge<'checkpoint'> = new Gauge({
    name: 'redwingcrank_lost_attempts',
    help: 'Attempts of jobs that ended without completing, by whether a checkpoint was left',
    labelNames: ['checkpoint'],
    registers: [registry],
    collect: () => {
      lostAttempts.set({ checkpoint: 'yes' }, control.fold.lostWork.resumable);
      lostAttempts.set({ checkpoint: 'no' }, control.fold.lostWork.afresh);
    },
  });
  registerGauge(registry, {
    name: 'redwingcrank_lost_work_seconds',
    help: 'Work since the last checkpoint of such attempts, as far as workers could tell',
    read: () => control.fold.lostWork.lostMs / SECOND_MS,
  });
  registerGauge(registry, {
    name: 'redwingcrank_revoked_attempts',
    help: 'Attempts that were revoked and whose end is not proved yet',
    read: () => control.fold.index.revoked.size,
  });
  registerGauge(registry, {
    name: 'redwingcrank_control_read_age_seconds',
    help: 'Time since the start of the last whole read of the control stream',
    read: () => control.readAge(performance.now()) / SECOND_MS,
  });
}

interface GaugeOptions {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

function registerGauge(registry: Registry, { name, help, read }: GaugeOptions): void {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect: () => gauge.set(read()),
  });
}
