import { nodesSchema } from '../cli-settings.js';
import type { CommonSettings } from '../command.js';
import { Command, clusterOf } from '../command.js';
import type { Output } from '../output.js';

/** Prints the state of each node. */
export class Status extends Command {
  readonly usage = 'status';

  readonly summary = 'The state of each node, and the recently rejected manifests';

  readonly examples = [
    ['status --nodes 10.0.0.1:7003,10.0.0.2:7003', 'Query two nodes'],
    ['status --json', 'For a script, nodes from REDWINGCRANK_NODES'],
  ] as const;

  readonly schema = nodesSchema;

  async run(settings: CommonSettings, out: Output): Promise<void> {
    const cluster = clusterOf(settings);
    const answers = await cluster.statuses();
    const rows = answers.map((answer) =>
      'status' in answer
        ? { address: answer.client.address, ...answer.status }
        : { address: answer.client.address, state: 'unreachable', reason: answer.reason },
    );
    const columns = [
      'address',
      'nodeId',
      'dataCentre',
      'state',
      'manifestVersion',
      'term',
      'holder',
    ];
    out.rows([...columns, 'unplacedCount'], rows);
    for (const answer of answers) {
      if ('reason' in answer) out.line(`${answer.client.address}: ${answer.reason}`);
    }
    // All nodes reject the same manifests, so each rejection is printed once.
    const rejections = answers.flatMap((a) => ('status' in a ? a.status.rejections : []));
    const unique = new Map(rejections.map((rejection) => [rejection.offset, rejection]));
    for (const { offset, reason, detail } of unique.values()) {
      out.line(`rejected manifest at offset ${offset}: ${reason}: ${detail}`);
    }
    if (answers.every((answer) => 'reason' in answer)) await cluster.reachable();
  }
}
