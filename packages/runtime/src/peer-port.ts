import type { Observable } from 'rxjs';

/** What a process of this system tells another one as they connect. */
export interface PeerHello {
  readonly node: string;
  /** Processor time of the node, in cores. */
  readonly cores: number;
  /** Tells this process from earlier and later ones of the same node. */
  readonly processId: string;
}

/** A connection to another process of this system. */
export abstract class PeerLink {
  abstract readonly peer: PeerHello;

  /** Resolves when the connection has ended, for whatever reason. */
  abstract readonly closed: Promise<void>;

  abstract close(): void;
}

/** Nothing listens at the address of a peer: its process has ended. */
export class PeerGoneError extends Error {
  override readonly name = 'PeerGoneError';
}

/** A peer was not reached. Its process may live: behind a cut, frozen, or with a full queue. */
export class PeerUnreachedError extends Error {
  override readonly name = 'PeerUnreachedError';
}

/** Connections between the processes of this system. */
export abstract class PeerPort {
  abstract readonly self: PeerHello;

  /** Where other processes reach this one, HOST:PORT; undefined while it does not listen. */
  abstract readonly address: string | undefined;

  /** Connections that others have opened. */
  abstract readonly accepted$: Observable<PeerLink>;

  /**
   * Connects to the process at an address, HOST:PORT.
   *
   * @throws PeerGoneError
   * @throws PeerUnreachedError
   */
  abstract open(address: string, signal: AbortSignal): Promise<PeerLink>;
}
