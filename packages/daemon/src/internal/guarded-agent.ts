import http from 'node:http';
import type { Duplex } from 'node:stream';

/** Shorter than the idle timeout of most servers, so that few reused connections are half-open. */
const IDLE_MS = 4_000;

/**
 * An agent that reuses a connection only if no data arrived on it while it was idle.
 *
 * An endpoint that answers twice leaves the second answer on its connection, where it would be read
 * as the answer to the next request. Data on an idle connection belongs to no request, so the
 * connection is destroyed. The connection that was idle longest is reused first, which leaves the
 * most time to detect such data.
 */
export class GuardedAgent extends http.Agent {
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, timeout: IDLE_MS, scheduling: 'fifo' });
  }

  /** Called by Node when a connection becomes idle; returning false destroys it. */
  override keepSocketAlive(socket: Duplex): boolean {
    const kept = super.keepSocketAlive(socket) as boolean | undefined;
    if (kept === false || socket.readableLength > 0) return false;
    socket.on('data', destroyOnData);
    return true;
  }

  /** Called by Node when an idle connection is reused for a request. */
  override reuseSocket(socket: Duplex, req: http.ClientRequest): void {
    socket.removeListener('data', destroyOnData);
    super.reuseSocket(socket, req);
  }
}

function destroyOnData(this: Duplex): void {
  this.destroy();
}
