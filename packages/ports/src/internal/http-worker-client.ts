import type {
  CheckpointMessage,
  RenewMessage,
  StartMessage,
  StopMessage,
  ThrottleMessage,
  WorkerReport,
} from '@redwingcrank/protocol';
import { workerReportSchema } from '@redwingcrank/protocol';
import { WorkerClient } from '../worker-client.js';
import { callJson } from './json-call.js';

/** A client of the workers over HTTP. */
export class HttpWorkerClient extends WorkerClient {
  readonly #timeoutMs: number;

  constructor(timeoutMs: number) {
    super();
    this.#timeoutMs = timeoutMs;
  }

  override report(address: string): Promise<WorkerReport> {
    return this.#call(address, 'report', 'GET');
  }

  override start(address: string, message: StartMessage): Promise<WorkerReport> {
    return this.#call(address, 'start', 'POST', message);
  }

  override renew(address: string, message: RenewMessage): Promise<WorkerReport> {
    return this.#call(address, 'renew', 'POST', message);
  }

  override stop(address: string, message: StopMessage): Promise<WorkerReport> {
    return this.#call(address, 'stop', 'POST', message);
  }

  override checkpoint(address: string, message: CheckpointMessage): Promise<WorkerReport> {
    return this.#call(address, 'checkpoint', 'POST', message);
  }

  override throttle(address: string, message: ThrottleMessage): Promise<WorkerReport> {
    return this.#call(address, 'throttle', 'POST', message);
  }

  #call(
    address: string,
    verb: string,
    method: 'GET' | 'POST',
    body?: unknown,
  ): Promise<WorkerReport> {
    return callJson({
      url: `http://${address}/${verb}`,
      method,
      body,
      timeoutMs: this.#timeoutMs,
      schema: workerReportSchema,
      failure: 'workerUnavailable',
    });
  }
}
