import type { RandomSource } from '@redwingcrank/decisions';

export const SERVICES = ['dispatch', 'billing', 'watch'] as const;
export const BATCH_KINDS = ['route', 'close', 'index', 'report', 'backup'] as const;

export const STEP_MS = 2_000;

/** The tail of an undisturbed service at no load, as a part of its target. */
const BASE = 0.45;
const OWN_LOAD = 0.3;
const MILD = 0.3;
const BAD = 4;
const DAY_MS = 30 * 60_000;
const WAVE_MS = 5 * 60_000;

/** What the policies cannot see: how much each kind of batch work disturbs each service. */
export class HiddenTruth {
  readonly #costs = new Map<string, number>();

  readonly #noisy: boolean;

  /** @param noisy - Whether the disturbance comes in waves, doubled every other five minutes. */
  constructor(random: RandomSource, noisy: boolean) {
    this.#noisy = noisy;
    for (const service of SERVICES) {
      const first = random.int(0, BATCH_KINDS.length - 1);
      const second = (first + random.int(1, BATCH_KINDS.length - 1)) % BATCH_KINDS.length;
      BATCH_KINDS.forEach((kind, i) => {
        this.#costs.set(`${service} ${kind}`, i === first || i === second ? BAD : MILD);
      });
    }
  }

  /** How busy services are, 0.4 to 1. */
  load(nowMs: number): number {
    return 0.7 + 0.3 * Math.sin((2 * Math.PI * nowMs) / DAY_MS);
  }

  /** The tail of a replica as a part of its target. */
  tail(service: string, nowMs: number, beside: ReadonlyMap<string, number>): number {
    const wave = this.#noisy && Math.floor(nowMs / WAVE_MS) % 2 === 1 ? 2 : 1;
    let disturbance = OWN_LOAD;
    for (const [kind, part] of beside) {
      disturbance += (this.#costs.get(`${service} ${kind}`) ?? MILD) * part * wave;
    }
    return BASE * (1 + this.load(nowMs) * disturbance);
  }
}
