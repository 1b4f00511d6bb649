import type { z } from 'zod';
import { CodedError } from '@redwingcrank/protocol';
import { nodesSchema } from '../cli-settings.js';
import { Command } from '../command.js';
import type { Output } from '../output.js';

/** Time limit for the answer of one node, in milliseconds. */
const ANSWER_TIMEOUT_MS = 4_000;

/** A wave as a node knows it. */
interface NodeWave {
  readonly wave: number;
  readonly state: string;
  readonly machines: number;
  readonly done: number;
  readonly leftMs: number;
  /** Absent if the node does not schedule, like the fields below. */
  readonly down?: number;
  readonly draining?: number;
  readonly held?: readonly { readonly machine: string; readonly reason: string }[];
}

const COLUMNS = ['node', 'wave', 'state', 'machines', 'done', 'down', 'draining', 'leftS', 'held'];

/** Prints the waves of maintenance as each of the nodes knows them, and what blocks them. */
export class Waves extends Command<z.infer<typeof nodesSchema>> {
  readonly usage = 'waves';

  readonly summary = 'Waves of maintenance by node, and what blocks their machines';

  readonly examples = [['waves', 'The node that schedules knows what blocks a wave']] as const;

  readonly schema = nodesSchema;

  /** @throws CodedError if no node answers. */
  async run({ nodes }: z.infer<typeof nodesSchema>, out: Output): Promise<void> {
    const answers = await Promise.allSettled(nodes.map((node) => callNode(node)));
    if (answers.every(({ status }) => status === 'rejected'))
      throw new CodedError('nodeUnreachable', nodes.join(', '));
    const rows = answers.flatMap((answer, index) => {
      const node = nodes[index]!;
      if (answer.status === 'rejected') return [{ node, wave: '(no answer)' }];
      if (answer.value.length === 0) return [{ node, wave: '(none)' }];
      return answer.value.map((wave) => ({ node, ...rowOf(wave) }));
    });
    out.value(rows);
    out.table(COLUMNS, rows);
  }
}

function rowOf(view: NodeWave): Readonly<Record<string, string | number>> {
  const { wave, state, machines, done, down = '', draining = '', leftMs, held = [] } = view;
  const leftS = Math.round(leftMs / 1_000);
  const blocked = held.map(({ machine, reason }) => `${machine} ${reason}`).join(', ');
  return { wave, state, machines, done, down, draining, leftS, held: blocked };
}

async function callNode(node: string): Promise<readonly NodeWave[]> {
  const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
  const res = await fetch(`http://${node}/waves`, { signal });
  const { waves } = (await res.json()) as { readonly waves: readonly NodeWave[] };
  return waves;
}
