import { randomUUID } from 'node:crypto';
import { Registry, collectDefaultMetrics } from 'prom-client';
import { first, merge } from 'rxjs';
import type { EventFilter, Hello, StatusView } from '@redwingcrank/protocol';
import { HybridClock, MANIFEST_STREAM, controlStream } from '@redwingcrank/protocol';
import type { NodeState } from '@redwingcrank/decisions';
import { listedHostsOf, nodeChart } from '@redwingcrank/decisions';
import { HttpHostListSource, HttpPlatformLog, JsonListener, SharedKeys } from '@redwingcrank/ports';
import type { AdminSource } from './admin-api.js';
import { AdminApi } from './admin-api.js';
import { hostViews } from './admin-views.js';
import { ControlTask } from './control-task.js';
import { EntryRole } from './entry-role.js';
import { EventLog } from './event-log.js';
import { HostListTask } from './host-list-task.js';
import { ManifestTask } from './manifest-task.js';
import type { NodeContext } from './node-context.js';
import { registerNodeMetrics } from './node-metrics.js';
import { PeerTask } from './peer-task.js';
import { RELEASE } from './release.js';
import { SchedulingRole } from './scheduling-role.js';
import type { Settings } from './settings.js';
import { sleep } from './sleep.js';
import { SnapshotWriter } from './snapshot-writer.js';
import { StateGossip } from './state-gossip.js';

/** Time limits at shutdown, for the last append and for the announcement to peers. */
const FINISH_LIMIT_MS = 500;
const ANNOUNCE_LIMIT_MS = 1_000;

const ADMIN_BODY_LIMIT = 64 * 1024;

/** How many unplaced tasks the status lists; the route `why` explains every one of them. */
const MAX_LISTED_UNPLACED = 100;

/** The ports that a node listens on. */
export interface NodePorts {
  readonly callerPort: number;
  readonly peerPort: number;
  readonly adminPort: number;
}

/**
 * One node: creates the tasks of its roles and connects them.
 *
 * Lifecycle: construct, `start`, `drain`.
 */
export class NodeProcess {
  readonly #settings: Settings;

  readonly #incarnation = randomUUID();

  readonly #clock = new HybridClock(() => Date.now());

  readonly #registry = new Registry();

  readonly #events: EventLog;

  readonly #manifest: ManifestTask;

  readonly #control: ControlTask;

  readonly #remote = new Map<string, ControlTask>();

  readonly #hostList: HostListTask;

  readonly #peers: PeerTask;

  readonly #scheduling: SchedulingRole;

  readonly #entry: EntryRole;

  readonly #admin: JsonListener;

  readonly #log: HttpPlatformLog;

  readonly #snapshots: readonly SnapshotWriter[];

  #state: NodeState = nodeChart.initial;

  constructor(settings: Settings) {
    this.#settings = settings;
    const { nodeId, dataCentre, platformTimeoutMs } = settings;
    this.#events = new EventLog(nodeId, this.#clock, settings.logLevel);
    this.#log = new HttpPlatformLog(settings.logUrl, platformTimeoutMs);
    this.#manifest = new ManifestTask(this.#log, this.#events);
    this.#control = new ControlTask(this.#log, dataCentre, this.#events);
    this.#hostList = new HostListTask({
      source: new HttpHostListSource(settings.hostListUrl, platformTimeoutMs),
      events: this.#events,
      pollMs: settings.hostListPollMs,
      confirmMs: settings.hostListConfirmMs,
      known: () => listedHostsOf(this.#control.fold, dataCentre),
    });
    this.#peers = this.#makePeers();
    const ctx: NodeContext = {
      settings,
      incarnation: this.#incarnation,
      log: this.#log,
      events: this.#events,
      registry: this.#registry,
      manifest: this.#manifest,
      control: this.#control,
      hostList: this.#hostList,
      peers: this.#peers,
    };
    this.#scheduling = new SchedulingRole(ctx, () => this.#state);
    this.#entry = new EntryRole(ctx, this.#remote);
    this.#snapshots = [
      this.#makeSnapshotWriter(MANIFEST_STREAM, this.#manifest, () => true),
      this.#makeSnapshotWriter(
        controlStream(dataCentre),
        this.#control,
        () => this.#scheduling.holds,
      ),
    ];
    collectDefaultMetrics({ register: this.#registry });
    registerNodeMetrics(this.#registry, () => this.#status(), this.#events.events$);
    const api = new AdminApi(
      this.#adminSource(),
      this.#registry,
      new SharedKeys(settings.adminKeys),
    );
    this.#admin = new JsonListener((req) => api.answer(req), ADMIN_BODY_LIMIT);
  }

  /** Opens the listeners and starts the tasks. */
  async start(): Promise<NodePorts> {
    const { ip, roles } = this.#settings;
    this.#manifest.start();
    this.#control.start();
    // The first list is compared with the hosts in the control stream, which must be read before.
    this.#control.caughtUp$.pipe(first(Boolean)).subscribe(() => this.#hostList.start());
    this.#snapshots.forEach((writer) => writer.start());
    this.#followOtherDataCentres();
    merge(this.#control.changed$, this.#hostList.hosts$, this.#manifest.manifest$).subscribe(() =>
      this.#entry.endpointsChanged(),
    );
    if (roles.includes('scheduler')) this.#scheduling.start();
    merge(this.#manifest.caughtUp$, this.#control.caughtUp$).subscribe(() => this.#checkReady());
    const peerPort = await this.#peers.listen(this.#settings.peerPort, ip);
    const adminPort = await this.#admin.listen(this.#settings.adminPort, ip);
    const callerPort = roles.includes('entry')
      ? await this.#entry.listen(this.#settings.callerPort, ip)
      : 0;
    this.#startGossip();
    this.#peers.start();
    this.#events.emit('info', 'node-started', { callerPort, peerPort, adminPort });
    return { callerPort, peerPort, adminPort };
  }

  /** Hands over the node's work, answers all open requests, and closes all listeners and tasks. */
  async drain(): Promise<void> {
    const next = nodeChart.next(this.#state, 'drain');
    if (next === undefined) return;
    this.#state = next;
    this.#events.emit('info', 'node-draining');
    // The next holder's claim would void an append in progress, so the node waits for it. The wait
    // is limited, because a silent log must not delay the hand-over.
    await Promise.race([this.#scheduling.finish(), sleep(FINISH_LIMIT_MS)]);
    // Peers are notified before the listener closes, so that they send this node no more work.
    await Promise.race([this.#peers.announce(), sleep(ANNOUNCE_LIMIT_MS)]);
    // The load balancer sees `not ready` and picks other nodes while the listener still answers.
    await sleep(this.#settings.drainNoticeMs);
    const left = await this.#entry.drain();
    this.#scheduling.stop();
    this.#snapshots.forEach((writer) => writer.stop());
    this.#hostList.stop();
    this.#control.stop();
    this.#remote.forEach((task) => task.stop());
    this.#manifest.stop();
    await this.#peers.stop();
    this.#entry.stop();
    await this.#admin.close();
    this.#events.emit('info', 'node-stopped', { left });
  }

  #checkReady(): void {
    if (this.#state !== 'starting') return;
    if (!this.#manifest.caughtUp$.value || !this.#control.caughtUp$.value) return;
    this.#state = nodeChart.next(this.#state, 'caughtUp') ?? this.#state;
    this.#events.emit('info', 'node-ready');
  }

  #makePeers(): PeerTask {
    const { peers, helloMs, peerSilenceMs, peerKeys } = this.#settings;
    return new PeerTask({
      keys: new SharedKeys(peerKeys),
      peers,
      helloMs,
      silenceMs: peerSilenceMs,
      clock: this.#clock,
      self: () => this.#hello(),
      runKeyed: (call) => this.#entry.answerKeyed(call),
      streamState: (stream) => this.#streams().get(stream)?.state(),
    });
  }

  /** Returns the tasks of the streams that this node follows, by stream name. */
  #streams(): Map<string, ManifestTask | ControlTask> {
    const controls = [this.#control, ...this.#remote.values()];
    const named = controls.map((task) => [controlStream(task.dataCentre), task] as const);
    return new Map<string, ManifestTask | ControlTask>([
      [MANIFEST_STREAM, this.#manifest],
      ...named,
    ]);
  }

  #makeSnapshotWriter(
    stream: string,
    source: ManifestTask | ControlTask,
    mayWrite: () => boolean,
  ): SnapshotWriter {
    const { logRetentionMs: retentionMs } = this.#settings;
    const { random } = Math;
    return new SnapshotWriter({
      log: this.#log,
      events: this.#events,
      stream,
      source,
      retentionMs,
      mayWrite,
      random,
    });
  }

  #startGossip(): void {
    const controls = () => [this.#control, ...this.#remote.values()];
    new StateGossip({ peers: this.#peers, manifest: this.#manifest, controls }).start();
  }

  #hello(): Hello {
    return {
      nodeId: this.#settings.nodeId,
      dataCentre: this.#settings.dataCentre,
      incarnation: this.#incarnation,
      roles: this.#settings.roles,
      draining: this.#state === 'draining',
      manifestVersion: this.#manifest.version,
      controlOffset: this.#control.fold.offset,
      tending: this.#scheduling.tending,
      unreachable: [...this.#scheduling.unreachable],
      hlc: this.#clock.tick(),
    };
  }

  #followOtherDataCentres(): void {
    this.#manifest.manifest$.subscribe((manifest) => {
      for (const dc of manifest?.dataCentres ?? []) {
        if (dc !== this.#settings.dataCentre && !this.#remote.has(dc)) {
          const task = new ControlTask(this.#log, dc, this.#events);
          this.#remote.set(dc, task);
          task.changed$.subscribe(() => this.#entry.endpointsChanged());
          task.start();
        }
      }
    });
  }

  #adminSource(): AdminSource {
    return {
      ready: () => this.#state === 'ready',
      status: () => this.#status(),
      manifest: () => this.#manifest.manifest$.value,
      control: () => this.#control.fold,
      hosts: () => hostViews(this.#control.fold.hosts.values()),
      holds: () => this.#scheduling.holds,
      explain: (taskId) => this.#scheduling.explain(taskId),
      events: (after: string, limit: number, filter: EventFilter) =>
        this.#events.after(after, limit, filter),
    };
  }

  #status(): StatusView {
    const { nodeId, dataCentre, roles } = this.#settings;
    const { term, holder, offset } = this.#control.fold;
    const { unplaced } = this.#scheduling;
    return {
      nodeId,
      dataCentre,
      roles,
      state: this.#state,
      release: RELEASE,
      manifestVersion: this.#manifest.version,
      manifestSource: this.#manifest.source,
      term,
      holder,
      controlOffset: offset,
      peers: this.#peers.alive().map((peer) => peer.nodeId),
      rejections: [...this.#manifest.rejections],
      unplaced: unplaced.slice(0, MAX_LISTED_UNPLACED).map((found) => ({ ...found })),
      unplacedCount: unplaced.length,
    };
  }
}
