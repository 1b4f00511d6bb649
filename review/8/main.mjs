import { playPastSchedule } from '../standins-2/past-schedule.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const HOUR_MS = 3_600_000;

const INTERVAL_MS = HOUR_MS / 60;

/** The report covers the last 60 days, or without the disruption the last six hours. */
const SPAN_MS = (HAS_TROUBLE ? 60 * 24 : 6) * HOUR_MS;

await playPastSchedule(import.meta.dirname, {
  runs: SPAN_MS / INTERVAL_MS,
  intervalMs: INTERVAL_MS,
});
