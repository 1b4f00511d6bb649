import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import type {
  PolledReport,
  KeyMemorySnapshot,
  Hello,
  StoredKeyMemory,
  KeyedAnswer,
  KeyedRequest,
} from '@redwingcrank/protocol';
import {
  RESULT_CODES,
  polledReportSchema,
  faultsOf,
  helloSchema,
  keyMemorySnapshotSchema,
  keyedRequestSchema,
} from '@redwingcrank/protocol';

/** What a node does for its peers. */
export interface PeerService {
  /** Takes note of a peer and answers with this node's own state. */
  hello(from: Hello): Hello;
  /** Takes a worker's report that a peer fetched. */
  workerReport(asked: PolledReport): void;
  /** Runs a request whose key has its home on this node, or tells how that ended. */
  runKeyed(call: KeyedRequest): Promise<KeyedAnswer>;
  /** Keeps the keys of a peer that shuts down. */
  keepKeys(memory: KeyMemorySnapshot): void;
  /** Gives a peer that is back the keys that were kept for it. */
  takeKeys(nodeId: string): StoredKeyMemory | null;
  /** The state this node has of a stream, or undefined where it has none to rely on. */
  streamState(stream: string): object | undefined;
}

/** Makes the tRPC router through which nodes talk to one another. */
export function makePeerRouter(service: PeerService) {
  const t = initTRPC.create({
    // A peer of another release learns which field it lacks, not only that something is wrong.
    errorFormatter({ shape, error }) {
      if (!(error.cause instanceof z.ZodError)) return shape;
      const faults = faultsOf(error.cause, undefined);
      const message = faults.map((f) => `${f.path}: expected ${f.expected}`).join('; ');
      const { code: resultCode } = RESULT_CODES.badPeerMessage;
      return { ...shape, message, data: { ...shape.data, resultCode } };
    },
  });
  return t.router({
    hello: t.procedure.input(helloSchema).mutation(({ input }) => service.hello(input)),
    workerReport: t.procedure.input(polledReportSchema).mutation(({ input }) => {
      service.workerReport(input);
    }),
    keepKeys: t.procedure.input(keyMemorySnapshotSchema).mutation(({ input }) => {
      service.keepKeys(input);
    }),
    takeKeys: t.procedure.input(z.string()).mutation(({ input }) => service.takeKeys(input)),
    runKeyed: t.procedure
      .input(keyedRequestSchema)
      .mutation(({ input }) => service.runKeyed(input)),
    streamState: t.procedure
      .input(z.string().max(100))
      .query(({ input }): object | null => service.streamState(input) ?? null),
  });
}

export type PeerRouter = ReturnType<typeof makePeerRouter>;
