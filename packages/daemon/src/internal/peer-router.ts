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

/** The operations that a node offers its peers. */
export interface PeerService {
  /** Records a peer's state and returns this node's own. */
  hello(from: Hello): Hello;
  /** Accepts a worker's report that a peer fetched. */
  workerReport(polled: PolledReport): void;
  /** Runs a request whose key has its home on this node, or returns an earlier run's outcome. */
  runKeyed(call: KeyedRequest): Promise<KeyedAnswer>;
  /** Stores the key memory of a peer that shuts down. */
  keepKeys(memory: KeyMemorySnapshot): void;
  /** Returns the stored key memory to a peer that has restarted. */
  takeKeys(nodeId: string): StoredKeyMemory | null;
  /** Returns this node's state of a stream, or undefined if it has no complete state. */
  streamState(stream: string): object | undefined;
}

/** Creates the tRPC router for calls between nodes. */
export function makePeerRouter(service: PeerService) {
  const t = initTRPC.create({
    // Name the field, so that the logs of a peer of another release show which one it omits.
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
