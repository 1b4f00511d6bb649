import type { StatusView } from '@redwingcrank/protocol';
import { CodedError } from '@redwingcrank/protocol';
import type { AdminClient } from './admin-client.js';

/** The status that a node reported, or the reason why it did not answer. */
export type NodeAnswer =
  | { readonly client: AdminClient; readonly status: StatusView }
  | { readonly client: AdminClient; readonly reason: string };

/** The nodes that the settings name, queried together. */
export class Cluster {
  readonly clients: readonly AdminClient[];

  /** @param clients - At least one. */
  constructor(clients: readonly AdminClient[]) {
    this.clients = clients;
  }

  /** Requests the status of every node. */
  async statuses(): Promise<NodeAnswer[]> {
    return Promise.all(
      this.clients.map(async (client): Promise<NodeAnswer> => {
        try {
          return { client, status: await client.status() };
        } catch (err) {
          return { client, reason: err instanceof Error ? err.message : String(err) };
        }
      }),
    );
  }

  /**
   * Queries one node per data centre and returns the items of all. It picks the node that has read
   * the control stream furthest: one that lags would present a past state as the current one.
   *
   * @throws CodedError (102) if no node answers.
   */
  async perDataCentre<T>(query: (client: AdminClient) => Promise<T[]>): Promise<T[]> {
    const furthest = new Map<string, { client: AdminClient; offset: number }>();
    for (const { client, status } of await this.reachable()) {
      const best = furthest.get(status.dataCentre);
      if (!best || status.controlOffset > best.offset) {
        furthest.set(status.dataCentre, { client, offset: status.controlOffset });
      }
    }
    const lists = await Promise.all([...furthest.values()].map(({ client }) => query(client)));
    return lists.flat();
  }

  /**
   * Returns the nodes that answer, with their status.
   *
   * @throws CodedError (102) if no node answers; its message lists why each call failed.
   */
  async reachable(): Promise<{ readonly client: AdminClient; readonly status: StatusView }[]> {
    const answers = await this.statuses();
    const answering = answers.filter((answer) => 'status' in answer);
    if (answering.length > 0) return answering;
    const reasons = answers.map((answer) => ('reason' in answer ? answer.reason : ''));
    throw new CodedError('nodeUnreachable', reasons.join('\n'));
  }
}
