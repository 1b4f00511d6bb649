/**
 * Stands before a minion. While it is told to, it takes starts without an answer and delivers them
 * later; all other calls pass.
 */
import http from 'node:http';

export class LateOrders {
  #server;

  #targetPort;

  #note;

  /** How late starts are delivered, in milliseconds; 0 for at once. */
  delayMs = 0;

  /** How many starts were taken without an answer. */
  heldCount = 0;

  constructor(targetPort, note) {
    this.#targetPort = targetPort;
    this.#note = note;
    this.#server = http.createServer((req, res) => {
      this.#serve(req, res).catch((err) => res.destroy(err));
    });
  }

  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this.#server.address().port;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    if (req.url !== '/v1/run-start' || this.delayMs === 0) {
      this.#forward(req, body, res);
      return;
    }
    const { task, run } = JSON.parse(body);
    this.heldCount += 1;
    this.#note(`order: start ${task} run ${run} gets no answer, carried out in ${this.delayMs} ms`);
    setTimeout(() => {
      this.#note(`order: start ${task} run ${run} is delivered`);
      this.#forward(req, body, undefined);
    }, this.delayMs);
  }

  /** Passes a call on, and its answer back if `res` is given. */
  #forward({ method, url, headers }, body, res) {
    const options = { host: '127.0.0.1', port: this.#targetPort, method, path: url, headers };
    const call = http.request({ ...options, agent: false }, (answer) => {
      const { statusCode, headers: answerHeaders } = answer;
      if (res) answer.pipe(res.writeHead(statusCode, answerHeaders));
      else answer.resume();
    });
    call.on('error', () => res?.destroy());
    res?.on('close', () => call.destroy());
    call.end(body);
  }
}
