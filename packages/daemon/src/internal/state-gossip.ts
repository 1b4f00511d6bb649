import type { Hello } from '@redwingcrank/protocol';
import { MANIFEST_STREAM, controlStream } from '@redwingcrank/protocol';
import type { ControlTask } from './control-task.js';
import type { ManifestTask } from './manifest-task.js';
import type { PeerTask } from './peer-task.js';

export interface StateGossipOptions {
  readonly peers: PeerTask;
  readonly manifest: ManifestTask;
  /** Returns the control streams that this node follows. */
  readonly controls: () => Iterable<ControlTask>;
}

/**
 * Fetches stream states from peers that the log cannot provide. Every exchange carries the manifest
 * version in force, so a node that learns of a higher version fetches it at once, even while it
 * cannot reach the log. A peer's manifest comes from the log, directly or through other peers, so
 * it is in force on all nodes.
 *
 * Control streams are fetched only if this node has no complete state, because it started during an
 * outage of the log, or because the log no longer has the beginning of the stream.
 */
export class StateGossip {
  readonly #options: StateGossipOptions;

  readonly #fetching = new Set<string>();

  constructor(options: StateGossipOptions) {
    this.#options = options;
  }

  start(): void {
    this.#options.peers.hellos$.subscribe((hello) => this.#onHello(hello));
  }

  #onHello(hello: Hello): void {
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
    // One fetch at a time: a state may be large, and every peer offers the same one.
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
