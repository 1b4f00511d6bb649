import { readFile } from 'node:fs/promises';
import { z } from 'zod';
import { CodedError, RESULT_CODES } from '@redwingcrank/protocol';
import type { ResultCodeKey } from '@redwingcrank/protocol';
import { nodesSchema } from '../cli-settings.js';
import { Command } from '../command.js';
import type { Output } from '../output.js';

const queueSchema = nodesSchema.extend({ queue: z.string().min(1) });

const jobSchema = queueSchema.extend({
  id: z.string().regex(/^[0-9a-f]{16}$/, '16 hexadecimal digits'),
});

const submitSchema = jobSchema.extend({ file: z.string().min(1, 'the path of a job file') });

/** Time limit for the answer of one node, in milliseconds; longer than the node's own limit. */
const ANSWER_TIMEOUT_MS = 4_000;

interface Answer {
  readonly code: number;
  readonly result: string;
  readonly faults?: readonly string[];
  readonly state?: string;
  readonly pending?: number;
}

/**
 * Sends the request to one node after the other until a node gives a definite answer.
 *
 * @throws CodedError if the request is refused, or if no node gives a definite answer.
 */
async function callNodes(
  nodes: readonly string[],
  method: string,
  path: string,
  body?: string,
): Promise<Answer> {
  let lastFailure = 'no node is given';
  for (const node of nodes) {
    try {
      const res = await fetch(`http://${node}${path}`, {
        method,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
        ...(body === undefined ? {} : { body }),
      });
      const answer = (await res.json()) as Answer;
      if (answer.code === RESULT_CODES.jobAccepted.code) return answer;
      if (answer.code !== RESULT_CODES.storeUnavailable.code) throw refusal(answer);
      lastFailure = `${node}: ${answer.result}`;
    } catch (err) {
      if (err instanceof CodedError) throw err;
      lastFailure = `${node}: ${err instanceof Error ? err.message : String(err)}`;
    }
  }
  throw new CodedError('nodeUnreachable', lastFailure);
}

function refusal({ code, result, faults }: Answer): CodedError {
  const entry = Object.entries(RESULT_CODES).find(([, row]) => row.code === code);
  const detail = faults?.join('\n') ?? result;
  return new CodedError((entry?.[0] ?? 'badCall') as ResultCodeKey, detail);
}

/** Submits a job from a file. */
export class Submit extends Command<z.infer<typeof submitSchema>> {
  readonly usage = 'submit <queue> <id> <file>';

  readonly summary = 'Submit a job to a queue; a repeated id does not create a second job';

  readonly examples = [
    ['submit batch 5c0e7a21d94b36f8 examples/two-steps.json', 'Two steps, one after the other'],
  ] as const;

  readonly schema = submitSchema;

  async run({ nodes, queue, id, file }: z.infer<typeof submitSchema>, out: Output): Promise<void> {
    const body = await readFile(file, 'utf8');
    const answer = await callNodes(nodes, 'POST', `/queues/${queue}/jobs/${id}`, body);
    out.value(answer);
    out.line(`${id}: ${answer.result}`);
  }
}

/** Prints the state of a job. */
export class State extends Command<z.infer<typeof jobSchema>> {
  readonly usage = 'state <queue> <id>';

  readonly summary = 'The state of a submitted job';

  readonly examples = [['state batch 5c0e7a21d94b36f8', 'queued, running, completed...']] as const;

  readonly schema = jobSchema;

  async run({ nodes, queue, id }: z.infer<typeof jobSchema>, out: Output): Promise<void> {
    const answer = await callNodes(nodes, 'GET', `/queues/${queue}/jobs/${id}`);
    out.value(answer);
    out.line(`${id}: ${answer.state}`);
  }
}

/** Cancels a job. */
export class Cancel extends Command<z.infer<typeof jobSchema>> {
  readonly usage = 'cancel <queue> <id>';

  readonly summary = 'Cancel a submitted job; its running tasks are stopped';

  readonly examples = [
    ['cancel batch 5c0e7a21d94b36f8', 'None of its tasks starts after that'],
  ] as const;

  readonly schema = jobSchema;

  async run({ nodes, queue, id }: z.infer<typeof jobSchema>, out: Output): Promise<void> {
    const answer = await callNodes(nodes, 'DELETE', `/queues/${queue}/jobs/${id}`);
    out.value(answer);
    out.line(`${id}: cancelled`);
  }
}

/** Prints the number of jobs of a queue that have not started. */
export class Depth extends Command<z.infer<typeof queueSchema>> {
  readonly usage = 'depth <queue>';

  readonly summary = 'The number of accepted jobs of a queue that have not started';

  readonly examples = [['depth batch', 'A number that may be two seconds out of date']] as const;

  readonly schema = queueSchema;

  async run({ nodes, queue }: z.infer<typeof queueSchema>, out: Output): Promise<void> {
    const answer = await callNodes(nodes, 'GET', `/queues/${queue}`);
    out.value(answer);
    out.line(`${queue}: ${answer.pending}`);
  }
}
