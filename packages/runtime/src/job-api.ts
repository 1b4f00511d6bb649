import http from 'node:http';
import type { QueuePolicy } from '@redwingcrank/jobs';
import type { ResultCode } from '@redwingcrank/protocol/result-codes';
import { RESULT_CODES } from '@redwingcrank/protocol/result-codes';
import type { JobService } from './job-service.js';
import type { NodeLog } from './node-log.js';
import type { NodeMetrics, NodeState } from './internal/node-metrics.js';
import { steadyMs } from './internal/delay.js';

/** Timeout of a call to this API, in milliseconds. */
const CALL_TIMEOUT_MS = 3_000;

/** Maximum size of a submitted job, in bytes. */
const MAX_BODY_BYTES = 256 * 1024;

const ID = /^[0-9a-f]{16}$/;

const SUBMIT_RESULTS = {
  accepted: RESULT_CODES.jobAccepted,
  'not-run': RESULT_CODES.storeUnavailable,
  'too-large': RESULT_CODES.badJob,
  conflict: RESULT_CODES.idReused,
  unknown: RESULT_CODES.unknownOutcome,
} as const;

const CANCEL_RESULTS = {
  cancelled: RESULT_CODES.jobAccepted,
  'no-such-job': RESULT_CODES.noSuchJob,
  unavailable: RESULT_CODES.storeUnavailable,
  unknown: RESULT_CODES.unknownOutcome,
} as const;

interface Answer {
  readonly result: ResultCode;
  readonly fields?: object;
  /** When the caller of a rejected request may retry, in milliseconds from now. */
  readonly retryDelayMs?: number;
}

/** The part of a node that the API uses. */
export interface JobApiNode {
  readonly jobs: JobService;
  queue(name: string): QueuePolicy | undefined;
  readonly state: NodeState;
}

/**
 * The project's own API for jobs and metrics, on the administration address:
 *
 * - `POST|GET|DELETE /queues/QUEUE/jobs/ID` submits, shows and cancels a job.
 * - `GET /queues/QUEUE` returns the number of jobs that have not started.
 * - `GET /evacuations` returns the evacuated data centres, as far as this node knows, and how many runs
 *   are left there if this node schedules.
 * - `GET /waves` returns the waves of maintenance, with what blocks them if this node schedules.
 * - `GET /metrics` returns the metrics in the text format of Prometheus.
 *
 * The schema and the metrics library are loaded after the node serves its callers: they would
 * double the time that a restarted node needs to be ready.
 */
export class JobApi {
  readonly #node: JobApiNode;

  readonly #log: NodeLog;

  #metrics: NodeMetrics | undefined;

  constructor(node: JobApiNode, log: NodeLog) {
    this.#node = node;
    this.#log = log;
  }

  /** Serves on a further address, HOST:PORT. */
  async listen(address: string): Promise<void> {
    const { NodeMetrics: Metrics } = await import('./internal/node-metrics.js');
    this.#metrics ??= new Metrics(this.#log, () => this.#node.state);
    const server = http.createServer((req, res) => {
      this.#serve(req, res).catch((err: unknown) => {
        this.#log.emit('error', 'call-failed', { reason: String(err) });
        res.destroy();
      });
    });
    const split = address.lastIndexOf(':');
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(address.slice(split + 1)), address.slice(0, split), resolve);
    });
  }

  async #serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const path = new URL(req.url ?? '/', 'http://node').pathname;
    if (path === '/metrics') {
      res.end(await this.#metrics?.text());
      return;
    }
    const { result, fields, retryDelayMs } = await this.#answer(req, path.split('/').slice(1));
    const body = JSON.stringify({ code: result.code, result: result.name, ...fields });
    if (retryDelayMs !== undefined) res.setHeader('Retry-After', Math.ceil(retryDelayMs / 1_000));
    res.writeHead(result.status, { 'Content-Type': 'application/json' });
    res.end(body);
  }

  async #answer(req: http.IncomingMessage, path: readonly string[]): Promise<Answer> {
    const [root, name = '', jobs, id = ''] = path;
    if (root === 'evacuations' && path.length === 1) return this.#evacuations();
    if (root === 'waves' && path.length === 1) {
      return { result: RESULT_CODES.jobAccepted, fields: { waves: this.#node.state.waves } };
    }
    if (root !== 'queues' || path.length > 4) return { result: RESULT_CODES.badCall };
    const queue = this.#node.queue(name);
    if (!queue) return { result: RESULT_CODES.noSuchQueue };
    if (path.length === 2) return this.#depth(name);
    if (jobs !== 'jobs' || !ID.test(id)) {
      const fault = 'name the job as /queues/QUEUE/jobs/ID with 16 hexadecimal digits';
      return { result: RESULT_CODES.badCall, fields: { fault } };
    }
    switch (req.method) {
      case 'POST':
        return this.#submit(req, queue, id);
      case 'GET':
        return this.#state(name, id);
      case 'DELETE':
        return this.#cancel(name, id);
      default:
        return { result: RESULT_CODES.badCall };
    }
  }

  #evacuations(): Answer {
    const { evacuationAgesMs, evacuatedRuns } = this.#node.state;
    const dataCentres = [...evacuationAgesMs].map(([name, ageMs]) => ({
      name,
      knownForS: Math.round(ageMs / 1_000),
    }));
    return { result: RESULT_CODES.jobAccepted, fields: { dataCentres, runsLeft: evacuatedRuns } };
  }

  #depth(queue: string): Answer {
    const pending = this.#node.jobs.pending(queue);
    if (pending === undefined) return { result: RESULT_CODES.storeUnavailable };
    return { result: RESULT_CODES.jobAccepted, fields: { pending } };
  }

  #state(queue: string, id: string): Answer {
    const state = this.#node.jobs.state(id, queue);
    if (state === 'no-such-job') return { result: RESULT_CODES.noSuchJob };
    if (state === 'unavailable') return { result: RESULT_CODES.storeUnavailable };
    return { result: RESULT_CODES.jobAccepted, fields: { state } };
  }

  async #submit(req: http.IncomingMessage, queue: QueuePolicy, id: string): Promise<Answer> {
    const text = await readText(req);
    if (text === undefined) {
      return {
        result: RESULT_CODES.badJob,
        fields: { faults: [`job: over ${MAX_BODY_BYTES} bytes`] },
      };
    }
    const { JobFaultsError, readJob } = await import('./internal/job-schema.js');
    try {
      const spec = readJob(id, queue.name, text, Date.now());
      const retryDelayMs = this.#node.jobs.retryDelayMs(spec, queue);
      if (retryDelayMs !== undefined) {
        const isEvacuated = this.#node.jobs.isEvacuated(spec, queue);
        return {
          result: isEvacuated ? RESULT_CODES.evacuated : RESULT_CODES.longWait,
          retryDelayMs,
        };
      }
      const outcome = await this.#node.jobs.submit(spec, steadyMs() + CALL_TIMEOUT_MS);
      const backlogMs = outcome === 'not-run' ? this.#node.jobs.startBacklogMs(spec) : undefined;
      if (backlogMs !== undefined)
        return { result: RESULT_CODES.longWait, retryDelayMs: backlogMs };
      return { result: SUBMIT_RESULTS[outcome] };
    } catch (err) {
      if (!(err instanceof JobFaultsError)) throw err;
      return { result: RESULT_CODES.badJob, fields: { faults: err.faults } };
    }
  }

  async #cancel(queue: string, id: string): Promise<Answer> {
    const outcome = await this.#node.jobs.cancel(id, queue, steadyMs() + CALL_TIMEOUT_MS);
    return { result: CANCEL_RESULTS[outcome] };
  }
}

async function readText(req: http.IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}
