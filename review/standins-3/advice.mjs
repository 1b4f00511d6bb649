/** The advice service: it knows which minions may run a step, and handles one call at a time. */
import http from 'node:http';

export class Advice {
  #server;

  #policy;

  #approves;

  #note;

  #turn = Promise.resolve();

  /** `policy`: the times in the configuration; `approves` tells whether a minion may run a step. */
  constructor(policy, approves, note) {
    this.#policy = policy;
    this.#approves = approves;
    this.#note = note;
    this.#server = http.createServer((req, res) => {
      this.#serve(req, res).catch((err) => res.destroy(err));
    });
  }

  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const { step, workers } = JSON.parse(Buffer.concat(chunks));
    const former = this.#turn;
    this.#turn = (async () => {
      await former;
      await this.#decide(workers.length);
    })();
    await this.#turn;
    const rows = workers
      .filter((id) => this.#approves(step, id))
      .map((id) => [id, JSON.stringify([step, id, Date.now() + this.#policy.validity_ms])]);
    this.#note(`advice: ${step}: ${workers.length} minions named, ${rows.length} approved`);
    const answer = { approved_workers: rows, validity_ms: this.#policy.validity_ms };
    res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(answer));
  }

  async #decide(count) {
    const { decision_ms: decisionMs, period_ms: periodMs } = this.#policy;
    await new Promise((resolve) => {
      setTimeout(resolve, decisionMs + count * periodMs);
    });
  }
}
