/**
 * The part of its weight that a sample keeps when the next sample of its image is added:
 * interference changes over time.
 */
const DECAY = 0.9995;

/**
 * Ridge term that pulls weights with few samples towards zero interference, in squares of a host's
 * part.
 */
const RIDGE = 0.05;

/**
 * The lower bound of slack, at a tail latency of five times the target: lower values say no more
 * than that the tail latency is far over its target.
 */
const MIN_SLACK = 0.2;

/**
 * The upper bound of slack, more than a task without load has: higher values come from too few
 * requests.
 */
const MAX_SLACK = 5;

/** The number of samples of an image after which its weights are computed again. */
const SOLVE_INTERVAL = 8;

/**
 * A best-effort image that used less than this part of a host is ignored, because it tells nothing.
 */
const MIN_NOTICEABLE_PART = 0.005;

/**
 * The weight of values that an earlier leader learned, in squares of a host's part: as much as
 * twenty samples of an image that used a fourteenth of a host.
 */
const RESTORED_WEIGHT = 0.1;

/**
 * Maximum number of best-effort images that are told apart for a serving image: solving for the
 * weights takes time in proportion to the cube of their number. Others count as one.
 */
const MAX_BEST_EFFORT_IMAGES = 64;

/** Maximum number of serving images that are told apart; others count as one. */
const MAX_SERVING_IMAGES = 128;

/** The images that are not told apart; no image of a step has this name. */
const OTHER_IMAGES = '\0others';

/** For each serving image: the weights of best-effort images. */
export type InterferenceWeights = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** One measured tail latency, and the best-effort load on the same worker at that time. */
export interface TailLatencySample {
  readonly image: string;
  /** The measured slack, or how far it is from the slack that the task's own load explains. */
  readonly slack: number;
  /** For each best-effort image: the part of the worker's processors that it used. */
  readonly parts: ReadonlyMap<string, number>;
}

/** Least squares for one serving image, stored as sums so that no samples need to be kept. */
class ImageFit {
  /** Index of the weight of each best-effort image; index 0 is the slack without any of them. */
  readonly #indexes = new Map<string, number>();

  #products: number[][] = [[RIDGE]];

  #targets: number[] = [0];

  #weights: number[] = [0];

  #unsolved = 0;

  add(parts: ReadonlyMap<string, number>, value: number): void {
    const inputs = new Map([[0, 1]]);
    for (const [image, part] of parts) {
      if (part >= MIN_NOTICEABLE_PART) {
        const index = this.#indexOf(image);
        inputs.set(index, (inputs.get(index) ?? 0) + part);
      }
    }
    for (const row of this.#products) for (let i = 0; i < row.length; i += 1) row[i]! *= DECAY;
    for (let i = 0; i < this.#targets.length; i += 1) this.#targets[i]! *= DECAY;
    for (const [i, a] of inputs) {
      this.#targets[i]! += a * value;
      for (const [j, b] of inputs) this.#products[i]![j]! += a * b;
    }
    this.#unsolved += 1;
  }

  weightOf(image: string): number {
    const index = this.#indexes.get(image) ?? this.#indexes.get(OTHER_IMAGES);
    if (index === undefined) return 0;
    if (this.#unsolved >= SOLVE_INTERVAL) this.#solve();
    return Math.max(0, this.#weights[index] ?? 0);
  }

  /** Uses a weight that was learned earlier until there are enough samples. */
  restore(image: string, weight: number): void {
    const index = this.#indexOf(image);
    this.#products[index]![index]! += RESTORED_WEIGHT;
    this.#targets[index]! += RESTORED_WEIGHT * weight;
    this.#unsolved = SOLVE_INTERVAL;
  }

  weights(): Record<string, number> {
    const rounded = (image: string): number => Math.round(this.weightOf(image) * 10) / 10;
    return Object.fromEntries([...this.#indexes.keys()].map((image) => [image, rounded(image)]));
  }

  #indexOf(image: string): number {
    const known = this.#indexes.get(image);
    if (known !== undefined) return known;
    const isFull = this.#indexes.size >= MAX_BEST_EFFORT_IMAGES;
    if (isFull && image !== OTHER_IMAGES) return this.#indexOf(OTHER_IMAGES);
    const index = this.#targets.length;
    this.#indexes.set(image, index);
    for (const row of this.#products) row.push(0);
    this.#products.push(new Array<number>(index + 1).fill(0));
    this.#targets.push(0);
    this.#weights.push(0);
    return index;
  }

  #solve(): void {
    this.#unsolved = 0;
    const rows = this.#products.map((row, i) => [...row, this.#targets[i]!]);
    for (let i = 0; i < rows.length; i += 1) rows[i]![i]! += RIDGE;
    this.#weights = solveLinear(rows);
  }
}

/**
 * Solves a linear system by Gaussian elimination; the ridge on the diagonal makes every pivot
 * positive.
 */
function solveLinear(rows: number[][]): number[] {
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot += 1) {
    for (let row = pivot + 1; row < size; row += 1) {
      const factor = rows[row]![pivot]! / rows[pivot]![pivot]!;
      if (factor !== 0) {
        for (let col = pivot; col <= size; col += 1)
          rows[row]![col]! -= factor * rows[pivot]![col]!;
      }
    }
  }
  const result = new Array<number>(size).fill(0);
  for (let row = size - 1; row >= 0; row -= 1) {
    let sum = rows[row]![size]!;
    for (let col = row + 1; col < size; col += 1) sum -= rows[row]![col]! * result[col]!;
    result[row] = sum / rows[row]![row]!;
  }
  return result;
}

/**
 * Returns the slack for a tail latency that is `ratio` times its target: the reciprocal, within
 * bounds. A tail latency grows as the reciprocal of the free capacity of its server, so the slack
 * falls in proportion to the load; at a slack of 1 the tail latency equals its target.
 */
export function slackOf(ratio: number): number {
  return Math.min(MAX_SLACK, Math.max(1 / ratio, MIN_SLACK));
}

/**
 * Learns how much slack each best-effort image takes from each serving image. The slack is modelled
 * as a sum: the slack of the serving image alone, minus, for each best-effort image, a weight times
 * the part of the worker that it uses.
 */
export class InterferenceModel {
  readonly #fits = new Map<string, ImageFit>();

  learn({ image, slack, parts }: TailLatencySample): void {
    this.#fitOf(image).add(parts, -slack);
  }

  /** Restores weights that an earlier leader learned. */
  restore(weights: InterferenceWeights): void {
    for (const [serving, byBestEffort] of Object.entries(weights)) {
      for (const [bestEffort, weight] of Object.entries(byBestEffort))
        this.#fitOf(serving).restore(bestEffort, weight);
    }
  }

  /** Returns the weights learned until now, for a later leader. */
  weights(): InterferenceWeights {
    return Object.fromEntries([...this.#fits].map(([image, fit]) => [image, fit.weights()]));
  }

  /** Returns the slack that the best-effort image would take if it used a whole host. */
  weight(serving: string, bestEffort: string): number {
    const fit = this.#fits.get(serving) ?? this.#fits.get(OTHER_IMAGES);
    return fit?.weightOf(bestEffort) ?? 0;
  }

  /** Returns the slack that best-effort images take with the given parts of a host. */
  lostSlack(serving: string, parts: ReadonlyMap<string, number>): number {
    let sum = 0;
    for (const [bestEffort, part] of parts) sum += this.weight(serving, bestEffort) * part;
    return sum;
  }

  #fitOf(image: string): ImageFit {
    const known = this.#fits.get(image);
    if (known) return known;
    const isFull = this.#fits.size >= MAX_SERVING_IMAGES;
    if (isFull && image !== OTHER_IMAGES) return this.#fitOf(OTHER_IMAGES);
    const fit = new ImageFit();
    this.#fits.set(image, fit);
    return fit;
  }
}
