import type { Manifest, WorkerReport } from '@redwingcrank/protocol';
import type {
  ControlFold,
  HostState,
  TaskMove,
  PlacementNeed,
  PlacementView,
  RandomSource,
  TaskState,
} from '@redwingcrank/decisions';
import { BestFit, Colocation, ColocationFit, PlacementPolicy } from '@redwingcrank/decisions';

export const VARIANTS = ['static-split', 'random', 'best-fit-alarm', 'colocation'] as const;

export type VariantName = (typeof VARIANTS)[number];

/** A placement policy with what it does about services that are late. */
export abstract class Variant {
  abstract readonly policy: PlacementPolicy;

  observe(_fold: ControlFold, _manifest: Manifest, _report: WorkerReport, _nowMs: number): void {}

  moves(_fold: ControlFold, _nowMs: number): Iterable<TaskMove> {
    return [];
  }

  shareOf(_task: TaskState): number {
    return 1;
  }
}

/** Draws a host among those that fit. */
class RandomFit extends PlacementPolicy {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override place(need: PlacementNeed, view: PlacementView): HostState | undefined {
    const open = [...view.candidates(need)];
    return open.length === 0 ? undefined : open[this.#random.int(0, open.length - 1)];
  }
}

/** Of each nine hosts four are for services alone: they then survive the loss of a rack. */
class SplitFit extends BestFit {
  override place(need: PlacementNeed, view: PlacementView): HostState | undefined {
    return super.place({ ...need, urgent: false }, view);
  }

  protected override accepts(need: PlacementNeed, host: HostState): boolean {
    return (need.kind === 'service') === Number(host.hostId.slice(1)) % 9 < 4;
  }
}

class StaticSplit extends Variant {
  readonly policy = new SplitFit();
}

class RandomVariant extends Variant {
  readonly policy: PlacementPolicy;

  constructor(random: RandomSource) {
    super();
    this.policy = new RandomFit(random);
  }
}

const STREAK = 2;
const SETTLE_MS = 25_000;

/** Best fit; where a tail is above its target twice in a row, the largest batch task goes. */
class BestFitAlarm extends Variant {
  readonly policy = new BestFit();

  readonly #streaks = new Map<string, number>();

  readonly #actedMs = new Map<string, number>();

  override observe(
    fold: ControlFold,
    manifest: Manifest,
    report: WorkerReport,
    nowMs: number,
  ): void {
    const targets = new Map(manifest.services.map((s) => [s.name, s.latencyTargetMs]));
    const isLate = report.usage.some(({ taskId, latencyMs }) => {
      const target = targets.get(fold.tasks.get(taskId)?.owner ?? '');
      return latencyMs !== undefined && target !== undefined && latencyMs > target;
    });
    const streak = isLate ? (this.#streaks.get(report.hostId) ?? 0) + 1 : 0;
    const settled = nowMs - (this.#actedMs.get(report.hostId) ?? -Infinity) >= SETTLE_MS;
    this.#streaks.set(report.hostId, settled ? streak : 0);
  }

  override *moves(fold: ControlFold, nowMs: number): Generator<TaskMove> {
    for (const [hostId, streak] of this.#streaks) {
      const tasks = [...(fold.hosts.get(hostId)?.tasks ?? [])]
        .map((taskId) => fold.tasks.get(taskId))
        .filter((task) => task?.kind === 'job' && task.state === 'running');
      const [largest] = tasks.sort((a, b) => (b?.resources.cpu ?? 0) - (a?.resources.cpu ?? 0));
      if (streak >= STREAK && largest) {
        this.#actedMs.set(hostId, nowMs);
        this.#streaks.set(hostId, 0);
        yield { taskId: largest.taskId, attempt: largest.attempt, reason: 'alarm' };
      }
    }
  }
}

class ColocationVariant extends Variant {
  readonly policy: PlacementPolicy;

  readonly #colocation = new Colocation();

  constructor(fold: ControlFold) {
    super();
    this.policy = new ColocationFit(fold, this.#colocation.model);
  }

  override observe(...args: Parameters<Variant['observe']>): void {
    this.#colocation.observe(...args);
  }

  override moves(fold: ControlFold, nowMs: number): Generator<TaskMove> {
    return this.#colocation.review(fold, nowMs);
  }

  override shareOf(task: TaskState): number {
    return this.#colocation.shareOf(task);
  }
}

export function variantOf(name: VariantName, fold: ControlFold, random: RandomSource): Variant {
  switch (name) {
    case 'static-split':
      return new StaticSplit();
    case 'random':
      return new RandomVariant(random);
    case 'best-fit-alarm':
      return new BestFitAlarm();
    default:
      return new ColocationVariant(fold);
  }
}
