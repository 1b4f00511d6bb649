import type { z } from 'zod';
import { CodedError } from '@redwingcrank/protocol';
import { nodesSchema } from '../cli-settings.js';
import { Command } from '../command.js';
import type { Output } from '../output.js';

/** Time limit for the answer of one node, in milliseconds. */
const ANSWER_TIMEOUT_MS = 4_000;

/** What a node knows of evacuated data centres. */
interface NodeAnswer {
  readonly dataCentres: readonly { readonly name: string; readonly knownForS: number }[];
  /** Absent if the node does not schedule. */
  readonly runsLeft?: number;
}

const COLUMNS = ['node', 'dataCentre', 'knownForS', 'runsLeft'];

/** Prints the evacuated data centres, as each of the nodes knows them, and what still runs there. */
export class Evacuations extends Command<z.infer<typeof nodesSchema>> {
  readonly usage = 'evacuations';

  readonly summary = 'Evacuated data centres by node, and the runs that are left there';

  readonly examples = [
    ['evacuations', 'The node that schedules knows how many runs are left'],
  ] as const;

  readonly schema = nodesSchema;

  /** @throws CodedError if no node answers. */
  async run({ nodes }: z.infer<typeof nodesSchema>, out: Output): Promise<void> {
    const answers = await Promise.allSettled(nodes.map((node) => callNode(node)));
    const rows = answers.flatMap((answer, index) => {
      const node = nodes[index]!;
      if (answer.status === 'rejected') return [{ node, dataCentre: '(no answer)' }];
      const { dataCentres, runsLeft = '' } = answer.value;
      if (dataCentres.length === 0) return [{ node, dataCentre: '(none)' }];
      return dataCentres.map(({ name, knownForS }) => ({
        node,
        dataCentre: name,
        knownForS,
        runsLeft,
      }));
    });
    if (answers.every(({ status }) => status === 'rejected'))
      throw new CodedError('nodeUnreachable', nodes.join(', '));
    out.value(rows);
    out.table(COLUMNS, rows);
  }
}

async function callNode(node: string): Promise<NodeAnswer> {
  const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
  const res = await fetch(`http://${node}/evacuations`, { signal });
  return (await res.json()) as NodeAnswer;
}
