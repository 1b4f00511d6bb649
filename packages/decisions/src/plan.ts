import type { ListedHost, Manifest } from '@redwingcrank/protocol';
import type { ControlFold } from './control-fold.js';
import type { PlacementPolicy } from './placement.js';
import { PassContext } from './policy/pass-context.js';
import { planHosts } from './policy/plan-hosts.js';
import { planJobs } from './policy/plan-jobs.js';
import { planMoves } from './policy/plan-moves.js';
import { planRevocations } from './policy/plan-revocations.js';
import { planShrunkHosts } from './policy/plan-shrunk-hosts.js';
import { planServices } from './policy/plan-services.js';
import type { PlanStep } from './policy/plan-step.js';
import type { SchedulingMemory } from './policy/scheduling-memory.js';

/** The input of one pass, that is, one run of the scheduler. */
export interface PlanInput {
  readonly dataCentre: string;
  readonly manifest: Manifest;
  readonly fold: ControlFold;
  /** The platform's host list, or undefined while it is unavailable. */
  readonly listed: readonly ListedHost[] | undefined;
  readonly policy: PlacementPolicy;
  /** Wall-clock time in milliseconds; without it, deadlines and waiting times are ignored. */
  readonly nowMs?: number;
  /** The state that the scheduler keeps between passes. */
  readonly memory?: SchedulingMemory;
  /** Hosts whose workers do not answer, although the hosts may be live. No task is placed there. */
  readonly unreachable?: ReadonlySet<string>;
}

/**
 * Runs one pass: compares the manifest with the state of the fold and yields the actions that bring
 * the state closer to the manifest. It is a generator so that its driver can run other work between
 * two steps. The fold must not change before the pass is complete.
 */
export function* planPass(input: PlanInput): Generator<PlanStep, void> {
  const hosts = yield* planHosts(input);
  const ctx = new PassContext(input, hosts);
  yield* ctx.prepare();
  yield* planRevocations(ctx);
  yield* planShrunkHosts(ctx);
  yield* planMoves(ctx);
  yield* planServices(ctx);
  yield* planJobs(ctx);
}
