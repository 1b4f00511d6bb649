import type { ListedHost } from '@redwingcrank/protocol';
import type { JsonHandler } from '@redwingcrank/ports';

/** The platform's list of hosts; changes show after a lag. */
export class FakeHostList {
  readonly #lagMs: number;

  readonly #hosts = new Map<string, ListedHost>();

  #version = 0;

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Shows the host in the list after the lag. */
  put(host: ListedHost): void {
    this.#later(() => this.#hosts.set(host.hostId, host));
  }

  /** Takes the host off the list after the lag. */
  remove(hostId: string): void {
    this.#later(() => this.#hosts.delete(hostId));
  }

  /** Empties the list after the lag, as a platform in trouble may do by mistake. */
  clear(): void {
    this.#later(() => this.#hosts.clear());
  }

  #later(change: () => void): void {
    setTimeout(() => {
      change();
      this.#version += 1;
    }, this.#lagMs).unref();
  }

  readonly handler: JsonHandler = () => ({
    status: 200,
    body: { hosts: [...this.#hosts.values()], version: this.#version },
  });

  /** Changes the list: POST /put with a host, /remove with its id, /clear. */
  readonly control: JsonHandler = (req) => {
    if (req.url.pathname === '/put') this.put(req.body as ListedHost);
    else if (req.url.pathname === '/remove') this.remove((req.body as ListedHost).hostId);
    else if (req.url.pathname === '/clear') this.clear();
    else return { status: 404, body: {} };
    return { status: 200, body: {} };
  };
}
