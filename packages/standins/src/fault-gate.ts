import { z } from 'zod';
import type { JsonAnswer, JsonHandler, JsonRequest } from '@redwingcrank/ports';
import { JsonListener } from '@redwingcrank/ports';

const faultsSchema = z.strictObject({
  /** Every call waits this long first. */
  delayMs: z.number().min(0).default(0),
  /** So many calls take effect but lose their answer. */
  dropAnswers: z.int().min(0).default(0),
  /** Calls are refused before they take effect. */
  refuse: z.boolean().default(false),
  /** Calls are neither answered nor take effect. */
  freeze: z.boolean().default(false),
});

type Faults = z.infer<typeof faultsSchema>;

const FAULT_BODY_LIMIT = 10_000;

const UNAVAILABLE: JsonAnswer = { status: 503, body: { error: 'refused by the fault port' } };

/** Never settles: the caller has to give up by itself. */
const SILENCE = new Promise<JsonAnswer>(() => {});

/** Puts faults between a stand-in's handler and its callers; set over a port of its own. */
export class FaultGate {
  #faults: Faults = faultsSchema.parse({});

  #port: JsonListener | undefined;

  set(faults: Partial<Faults>): void {
    this.#faults = faultsSchema.parse(faults);
  }

  /** Wraps a handler, so that the faults apply to it. */
  guard(handler: JsonHandler): JsonHandler {
    return async (req) => {
      const faults = this.#faults;
      if (faults.delayMs > 0) await sleep(faults.delayMs);
      if (faults.freeze) return SILENCE;
      if (faults.refuse) return UNAVAILABLE;
      const answer = await handler(req);
      if (this.#faults.dropAnswers === 0) return answer;
      this.#faults = { ...this.#faults, dropAnswers: this.#faults.dropAnswers - 1 };
      return SILENCE;
    };
  }

  /** Opens the fault port: POST /faults replaces the faults; other requests go to `extra`. */
  async listen(ip: string, extra?: JsonHandler): Promise<number> {
    this.#port = new JsonListener((req) => this.#serve(req, extra), FAULT_BODY_LIMIT);
    return this.#port.listen(0, ip);
  }

  async close(): Promise<void> {
    await this.#port?.close();
  }

  #serve(req: JsonRequest, extra: JsonHandler | undefined): Promise<JsonAnswer> | JsonAnswer {
    if (req.url.pathname === '/faults') {
      this.#faults = faultsSchema.parse(req.body ?? {});
      return { status: 200, body: this.#faults };
    }
    return extra ? extra(req) : { status: 404, body: {} };
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
