import type { FuzzTarget } from '../fuzz-target.js';
import { AheadStarts } from './ahead-starts.js';
import { Copies } from './copies.js';
import { Evacuations } from './evacuations.js';
import { ForeignRecords } from './foreign-records.js';
import { Jobs } from './jobs.js';
import { ManifestGossip } from './manifest-gossip.js';
import { ManifestMutation } from './manifest-mutation.js';
import { ManifestRace } from './manifest-race.js';
import { OnePlace } from './one-place.js';
import { Plan } from './plan.js';
import { Requests } from './requests.js';
import { SnapshotEquivalence } from './snapshot-equivalence.js';
import { StoreRecords } from './store-records.js';
import { WorkerRestarts } from './worker-restarts.js';

/** All targets, in the order in which they run. */
export const TARGETS: readonly FuzzTarget[] = [
  new ManifestRace(),
  new ManifestGossip(),
  new SnapshotEquivalence(),
  new OnePlace(),
  new Requests(),
  new Plan(),
  new ManifestMutation(),
  new ForeignRecords(),
  new Jobs(),
  new Evacuations(),
  new AheadStarts(),
  new Copies(),
  new StoreRecords(),
  new WorkerRestarts(),
];
