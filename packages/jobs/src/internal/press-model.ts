/** What one sample keeps of its weight when the next of its image comes: disturbance shifts. */
const FADE = 0.998;

/** Pulls what was hardly seen towards no disturbance; in squares of a host's part. */
const RIDGE = 0.05;

/** Tails above the target by more than this factor say no more than that they are far above. */
const MAX_RATIO = 4.5;

/** Samples of an image after which its weights are worked out again. */
const SOLVE_EVERY = 8;

/** A filling image that used less than this part of a host tells nothing. */
const NOTICEABLE = 0.005;

/** One measured tail and what filled the same worker at that time. */
export interface TailSample {
  readonly image: string;
  /** The tail latency as a part of the target. */
  readonly ratio: number;
  /** By filling image: the part of the worker's processors that it used. */
  readonly parts: ReadonlyMap<string, number>;
}

/** Least squares for one serving image, kept as sums so that no samples need to be. */
class ImageFit {
  /** Filling images by the index of their weight; index 0 is the tail without any. */
  readonly #indexes = new Map<string, number>();

  #products: number[][] = [[RIDGE]];

  #targets: number[] = [0];

  #weights: number[] = [0];

  #unsolved = 0;

  add(parts: ReadonlyMap<string, number>, value: number): void {
    const inputs = new Map([[0, 1]]);
    for (const [image, part] of parts) {
      if (part >= NOTICEABLE) inputs.set(this.#indexOf(image), part);
    }
    for (const row of this.#products) for (let i = 0; i < row.length; i += 1) row[i]! *= FADE;
    for (let i = 0; i < this.#targets.length; i += 1) this.#targets[i]! *= FADE;
    for (const [i, a] of inputs) {
      this.#targets[i]! += a * value;
      for (const [j, b] of inputs) this.#products[i]![j]! += a * b;
    }
    this.#unsolved += 1;
  }

  weightOf(image: string): number {
    const index = this.#indexes.get(image);
    if (index === undefined) return 0;
    if (this.#unsolved >= SOLVE_EVERY) this.#solve();
    return Math.max(0, this.#weights[index] ?? 0);
  }

  #indexOf(image: string): number {
    const known = this.#indexes.get(image);
    if (known !== undefined) return known;
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

/** Gaussian elimination; the ridge on the diagonal makes every pivot positive. */
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
 * Learns how much each filling image lengthens the tails of each serving image. The logarithm of
 * a tail is taken as a sum: what the image has by itself, and for each filling image a weight
 * times the part of the worker that it uses. Measured tails of 45 pairs of images fitted this
 * with weights near 0 for most pairs and near 4 for one in four, so a few hundred samples tell
 * them apart.
 */
export class PressModel {
  readonly #fits = new Map<string, ImageFit>();

  learn({ image, ratio, parts }: TailSample): void {
    let fit = this.#fits.get(image);
    if (!fit) {
      fit = new ImageFit();
      this.#fits.set(image, fit);
    }
    fit.add(parts, Math.log(Math.min(MAX_RATIO, Math.max(ratio, 1 / MAX_RATIO))));
  }

  /** What a whole host of the filling image would add to the logarithm of the tail. */
  weight(serving: string, filling: string): number {
    return this.#fits.get(serving)?.weightOf(filling) ?? 0;
  }

  /** What these parts add to the logarithm of the tail. */
  press(serving: string, parts: ReadonlyMap<string, number>): number {
    let sum = 0;
    for (const [filling, part] of parts) sum += this.weight(serving, filling) * part;
    return sum;
  }
}
