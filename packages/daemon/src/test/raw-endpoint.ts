import net from 'node:net';
import type { AddressInfo } from 'node:net';

/** A request as received over TCP. */
export interface RawRequest {
  readonly path: string;
  readonly text: string;
  readonly socket: net.Socket;
}

export type Behaviour = (req: RawRequest) => void;

/** An endpoint that can violate HTTP: its behaviour writes any bytes to the connection. */
export class RawEndpoint {
  readonly #server: net.Server;

  readonly #sockets = new Set<net.Socket>();

  behaviour: Behaviour = (req) => answer(req);

  /** The paths of the requests that were received completely. */
  readonly runs: string[] = [];

  constructor() {
    this.#server = net.createServer((socket) => this.#accept(socket));
  }

  get openSockets(): number {
    return this.#sockets.size;
  }

  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #accept(socket: net.Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (!isComplete(text)) return;
      const path = text.split(' ', 2)[1] ?? '';
      this.runs.push(path);
      this.behaviour({ path, text, socket });
      text = '';
    });
  }
}

function isComplete(text: string): boolean {
  const end = text.indexOf('\r\n\r\n');
  const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
  return end >= 0 && text.length >= end + 4 + length;
}

/** Answers as a correct endpoint does, with the request's path as body. */
export function answer({ path, socket }: RawRequest): void {
  socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`);
}
