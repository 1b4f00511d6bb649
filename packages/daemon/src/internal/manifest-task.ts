import { BehaviorSubject } from 'rxjs';
import type { Manifest, ManifestSnapshot } from '@redwingcrank/protocol';
import { MANIFEST_STREAM, manifestSnapshotSchema } from '@redwingcrank/protocol';
import type { PlatformLog } from '@redwingcrank/ports';
import type { ManifestRejection, ManifestVerdict } from '@redwingcrank/decisions';
import { ManifestFold, StreamReader } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';
import { StreamTask } from './stream-task.js';

/** Folds the manifest stream and publishes the manifest in force. */
export class ManifestTask extends StreamTask<ManifestSnapshot, ManifestVerdict> {
  readonly #fold: ManifestFold;

  /** The manifest in force. */
  readonly manifest$ = new BehaviorSubject<Manifest | undefined>(undefined);

  constructor(log: PlatformLog, events: EventLog) {
    const fold = new ManifestFold();
    super(log, MANIFEST_STREAM, new StreamReader(fold, manifestSnapshotSchema), events);
    this.#fold = fold;
  }

  get version(): number {
    return this.#fold.version;
  }

  get rejections(): readonly ManifestRejection[] {
    return this.#fold.rejections;
  }

  protected override onFolded(verdict: ManifestVerdict): void {
    const { offset } = verdict;
    if (verdict.accepted) {
      this.events.emit('info', 'manifest-in-force', { version: verdict.manifest.version, offset });
      this.manifest$.next(verdict.manifest);
      return;
    }
    const { reason, detail, id } = verdict;
    this.events.emit('warn', 'manifest-rejected', { offset, id, reason, detail });
  }

  protected override onRestored(): void {
    const { inForce, offset } = this.#fold;
    if (!inForce || inForce.version === this.manifest$.value?.version) return;
    this.events.emit('info', 'manifest-in-force', { version: inForce.version, offset });
    this.manifest$.next(inForce);
  }
}
