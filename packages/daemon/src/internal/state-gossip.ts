import type { Hello } from '@redwingcrank/protocol';
import { MANIFEST_STREAM, controlStream } from '@redwingcrank/protocol';
import type { ControlTask } from './control-task.js';
import type { ManifestTask } from './manifest-task.js';
import type { PeerTask } from './peer-task.js';

export interface StateGossipOptions {
  readonly peers: PeerTask;
  readonly manifest: ManifestTask;
  /** The control streams that this node follows. */
  readonly controls: () => Iterable<ControlTask>;
}

/**
 * Fetches from peers what the log does not give. Every exchange carries the version in force, so
 * a node that hears of a higher one takes it at once, also while it cannot reach the log. What a
 * peer has it read from the log (or had from one who did), so it is in force for everybody.
 *
 * Control streams are fetched only where this node has no whole state: it started while the log
 * is down, or the log no longer has the beginning.
 */
export class StateGossip {
  readonly #options: StateGossipOptions;

  readonly #fetching = new Set<string>();

  constructor(options: StateGossipOptions) {
    this.#options = options;
  }

  start(): void {
    this.#options.peers.hellos$.subscribe((hello) => this.#heard(hello));
  }

  #heard(hello: Hello): void {
    const { manifest, controls } = this.#options;
    if (hello.manifestVersion > manifest.version || lacksState(manifest)) {
      this.#fetch(hello.nodeId, MANIFEST_STREAM, manifest);
    }
    for (const control of controls()) {
      if (lacksState(control))
        this.#fetch(hello.nodeId, controlStream(control.dataCentre), control);
    }
  }

  async #fetch(peer: string, stream: string, task: ManifestTask | ControlTask): Promise<void> {
    // One answer at a time: a state may be large, and every peer offers the same one.
    if (this.#fetching.has(stream)) return;
    this.#fetching.add(stream);
    const state = await this.#options.peers.fetchState(peer, stream);
    if (state !== undefined) task.adopt(state, peer);
    this.#fetching.delete(stream);
  }
}

function lacksState(task: ManifestTask | ControlTask): boolean {
  return !task.complete || !task.caughtUp$.value;
}
