import { z } from 'zod';
import type { JsonAnswer, JsonHandler, JsonRequest } from '@redwingcrank/ports';
import { JsonListener } from '@redwingcrank/ports';

const faultsSchema = z.strictObject({
  /** Delay before each call, in milliseconds. */
  delayMs: z.number().min(0).default(0),
  /** Number of calls that take effect but get no answer. */
  dropAnswers: z.int().min(0).default(0),
  /** Whether calls are refused before they take effect. */
  refuse: z.boolean().default(false),
  /** Whether calls neither take effect nor get an answer. */
  freeze: z.boolean().default(false),
});

type Faults = z.infer<typeof faultsSchema>;

const FAULT_BODY_LIMIT = 10_000;

const REFUSAL: JsonAnswer = { status: 503, body: { error: 'refused by the fault port' } };

/** Never resolves, so that the caller runs into its timeout. */
const NO_ANSWER = new Promise<JsonAnswer>(() => {});

/** Injects faults between a stand-in's handler and its callers; a separate port sets the faults. */
export class FaultGate {
  #faults: Faults = faultsSchema.parse({});

  #listener: JsonListener | undefined;

  set(faults: Partial<Faults>): void {
    this.#faults = faultsSchema.parse(faults);
  }

  /** Wraps a handler so that the faults apply to its calls. */
  guard(handler: JsonHandler): JsonHandler {
    return async (req) => {
      const faults = this.#faults;
      if (faults.delayMs > 0) await sleep(faults.delayMs);
      if (faults.freeze) return NO_ANSWER;
      if (faults.refuse) return REFUSAL;
      const answer = await handler(req);
      if (this.#faults.dropAnswers === 0) return answer;
      this.#faults = { ...this.#faults, dropAnswers: this.#faults.dropAnswers - 1 };
      return NO_ANSWER;
    };
  }

  /**
   * Opens the fault port: POST /faults replaces the faults; other requests go to `extra`.
   *
   * @returns The fault port.
   */
  async listen(ip: string, extra?: JsonHandler): Promise<number> {
    this.#listener = new JsonListener((req) => this.#serve(req, extra), FAULT_BODY_LIMIT);
    return this.#listener.listen(0, ip);
  }

  async close(): Promise<void> {
    await this.#listener?.close();
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
