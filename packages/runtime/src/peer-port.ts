import type { Observable } from 'rxjs';

/** The information that processes of this system exchange when they connect. */
export interface PeerHello {
  readonly node: string;
  /** Processor time of the node, in cores. */
  readonly cores: number;
  /** Distinguishes this process from earlier and later ones of the same node. */
  readonly processId: string;
  /** The data centre of the node; absent if the process is of an earlier version. */
  readonly dataCentre?: string;
}

/** A connection to another process of this system. */
export abstract class PeerLink {
  abstract readonly peer: PeerHello;

  /** Resolves when the connection has ended for any reason. */
  abstract readonly closed: Promise<void>;

  /**
   * Whether everything sent so far has been handed to the operating system. A connection behind a
   * network partition stops accepting data without any other sign.
   */
  abstract readonly isWritable: boolean;

  /** Sends one line of text without line breaks; the line is lost if the connection ends. */
  abstract send(line: string): void;

  /**
   * Sets the receiver of all lines from the peer, including a few that arrived before. Without a
   * receiver, further lines are dropped.
   */
  abstract receive(listener: (line: string) => void): void;

  abstract close(): void;
}

/** Thrown if nothing listens at the address of a peer: its process has ended. */
export class PeerGoneError extends Error {
  override readonly name = 'PeerGoneError';
}

/**
 * Thrown if a peer cannot be contacted. Its process may be alive: behind a network partition,
 * frozen, or with a full queue.
 */
export class PeerUnreachedError extends Error {
  override readonly name = 'PeerUnreachedError';
}

/** Connections between the processes of this system. */
export abstract class PeerPort {
  abstract readonly self: PeerHello;

  /**
   * The address at which other processes contact this one, HOST:PORT; undefined while it does not
   * listen.
   */
  abstract readonly address: string | undefined;

  /** Connections opened by other processes. */
  abstract readonly accepted$: Observable<PeerLink>;

  /**
   * Connects to the process at an address, HOST:PORT.
   *
   * @throws PeerGoneError
   * @throws PeerUnreachedError
   */
  abstract open(address: string, signal: AbortSignal): Promise<PeerLink>;
}
