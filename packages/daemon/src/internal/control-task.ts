import { Subject } from 'rxjs';
import type { ControlSnapshot } from '@redwingcrank/protocol';
import { controlSnapshotSchema, controlStream } from '@redwingcrank/protocol';
import type { PlatformLog } from '@redwingcrank/ports';
import type { ApplyResult } from '@redwingcrank/decisions';
import { ControlFold, StreamReader } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';
import { StreamTask } from './stream-task.js';

/** Folds the control stream of one data centre. */
export class ControlTask extends StreamTask<ControlSnapshot, ApplyResult> {
  readonly dataCentre: string;

  /** The state. Only this task changes it; others read it. */
  readonly fold: ControlFold;

  /** Fires after each record. */
  readonly changed$ = new Subject<void>();

  /** Emits the result of each record, before the next one is folded. */
  readonly folded$ = new Subject<ApplyResult>();

  /** Fires after the complete state of the fold was replaced. */
  readonly restored$ = new Subject<void>();

  /** Emits the start time of each read that reached the end, once all its records are folded. */
  readonly readToEnd$ = new Subject<number>();

  constructor(log: PlatformLog, dataCentre: string, events: EventLog) {
    const fold = new ControlFold();
    const reader = new StreamReader(fold, controlSnapshotSchema);
    super(log, controlStream(dataCentre), reader, events);
    this.fold = fold;
    this.dataCentre = dataCentre;
  }

  protected override onFolded(result: ApplyResult, offset: number): void {
    this.folded$.next(result);
    for (const reason of result.voided) {
      this.events.emit('warn', 'control-voided', { dc: this.dataCentre, offset, reason });
    }
    this.changed$.next();
  }

  protected override onReadToEnd(startedAt: number): void {
    this.readToEnd$.next(startedAt);
  }

  protected override onRestored(): void {
    this.restored$.next();
    this.changed$.next();
  }
}
