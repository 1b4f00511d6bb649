import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** One measured point: how much there was of something, and what it cost. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** The slope of the least-squares line through the points: the cost of one more. */
export function slopeOf(points: readonly Point[]): number {
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const size = mean(points.map((point) => point.size));
  const cost = mean(points.map((point) => point.cost));
  const shared = points.reduce((sum, p) => sum + (p.size - size) * (p.cost - cost), 0);
  const spread = points.reduce((sum, p) => sum + (p.size - size) ** 2, 0);
  return shared / spread;
}

/** What a value keeps alive, in bytes, and the processor time to make it, in microseconds. */
export function costOf(make: () => unknown): { readonly bytes: number; readonly micros: number } {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const { user } = process.cpuUsage();
  const value = make();
  const micros = process.cpuUsage().user - user;
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  // Used after the measurement, so that the value is alive while memory is read.
  if (value === undefined) throw new Error('nothing was made');
  return { bytes, micros };
}
