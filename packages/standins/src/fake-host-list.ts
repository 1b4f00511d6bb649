import type { ListedHost } from '@redwingcrank/protocol';
import type { JsonHandler } from '@redwingcrank/ports';

/** The platform's list of hosts; changes become visible after a lag. */
export class FakeHostList {
  readonly #lagMs: number;

  readonly #hosts = new Map<string, ListedHost>();

  #version = 0;

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Adds or updates a host after the lag. */
  put(host: ListedHost): void {
    this.#applyAfterLag(() => this.#hosts.set(host.hostId, host));
  }

  /** Removes a host after the lag. */
  remove(hostId: string): void {
    this.#applyAfterLag(() => this.#hosts.delete(hostId));
  }

  /** Empties the list after the lag, as a faulty platform may do by mistake. */
  clear(): void {
    this.#applyAfterLag(() => this.#hosts.clear());
  }

  #applyAfterLag(change: () => void): void {
    setTimeout(() => {
      change();
      this.#version += 1;
    }, this.#lagMs).unref();
  }

  readonly handler: JsonHandler = () => ({
    status: 200,
    body: { hosts: [...this.#hosts.values()], version: this.#version },
  });

  /** Changes the list: POST /put with a host, /remove with its `hostId`, or /clear. */
  readonly control: JsonHandler = (req) => {
    if (req.url.pathname === '/put') this.put(req.body as ListedHost);
    else if (req.url.pathname === '/remove') this.remove((req.body as ListedHost).hostId);
    else if (req.url.pathname === '/clear') this.clear();
    else return { status: 404, body: {} };
    return { status: 200, body: {} };
  };
}
