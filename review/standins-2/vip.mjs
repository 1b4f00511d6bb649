import net from 'node:net';

/**
 * The platform's address for consumers: forwards each new channel to the front of a node, the next
 * one to another node. It can reset a channel instead of passing a request on.
 */
export class Vip {
  #nodes;

  #port;

  #count = 0;

  #server = net.createServer((socket) => this.#accept(socket));

  /** Whether the next request is not passed on, and its channel is reset. */
  resetsNext = false;

  constructor(nodes, port) {
    this.#nodes = nodes;
    this.#port = port;
  }

  /** Listens on a free port and returns it. */
  async start(ip) {
    await new Promise((resolve) => {
      this.#server.listen(0, ip, resolve);
    });
    return this.#server.address().port;
  }

  #accept(socket) {
    const { ip } = this.#nodes[this.#count % this.#nodes.length];
    this.#count += 1;
    const upstream = net.connect(this.#port, ip);
    const end = () => {
      socket.destroy();
      upstream.destroy();
    };
    for (const side of [socket, upstream]) {
      side.on('error', end);
      side.on('close', end);
    }
    socket.on('data', (data) => {
      if (this.resetsNext) {
        this.resetsNext = false;
        upstream.destroy();
        socket.resetAndDestroy();
      } else upstream.write(data);
    });
    upstream.on('data', (data) => socket.write(data));
  }
}
