/**
 * One life of a minion, as a process of its own: runs, ends, leases on its own clock, the fencing
 * token, its capacity. It prints a line of JSON for all that happens to a run.
 *
 * Its argument is JSON: `id`, `port`, `maxHoldMs`, `capacity` and, where its platform states it,
 * `born`. The spec of a task is JSON: `ms`, how long it works; without it, the task lasts, or waits
 * for the other members of its gang (`gang`), whose ends the platform tells it.
 *
 * A task with `advice` needs a ticket.
 *
 * Commands are lines of JSON on its standard input: `end` ends a run, `fail` has every task that is
 * started from then on fail, until `work`.
 */
import http from 'node:http';
import { createInterface } from 'node:readline';

const { id, port, maxHoldMs, capacity, born } = JSON.parse(process.argv[2]);

/** How long after its start a task that lasts is at work, in milliseconds. */
const STARTUP_MS = 300;

/** How long a task works on a minion that fails all that it starts, in milliseconds. */
const FAILING_MS = 30;

const running = new Map();

const highestEnded = new Map();

let finished = [];

let endCount = 0;

let token = 0;

let leaseEndMs = 0;

let leaseTimer;

let waiting = [];

let failsAll = false;

const clockMs = () => Math.floor(performance.now());

const print = (event) =>
  process.stdout.write(`${JSON.stringify({ atMs: Date.now(), minion: id, born, ...event })}\n`);

function end(task, how) {
  const { run, timer } = running.get(task);
  clearTimeout(timer);
  running.delete(task);
  highestEnded.set(task, Math.max(run, highestEnded.get(task) ?? 0));
  endCount += 1;
  finished.push([endCount, task, run, how, '']);
  print({ event: 'ended', task, run, how });
  const wakes = waiting;
  waiting = [];
  for (const wake of wakes) wake();
}

function lapse() {
  for (const task of [...running.keys()]) end(task, 'lapsed');
}

function extendLease(deadlineMs) {
  if (deadlineMs === undefined) return;
  const endMs = Math.min(deadlineMs, performance.now() + maxHoldMs);
  if (endMs <= leaseEndMs) return;
  leaseEndMs = endMs;
  clearTimeout(leaseTimer);
  leaseTimer = setTimeout(lapse, endMs - performance.now());
}

function hasRoom({ cpu }) {
  let used = 0;
  for (const { spec } of running.values()) used += spec.cpu ?? 0;
  return used + (cpu ?? 0) <= capacity.cpu;
}

/** Whether a ticket is valid for a task here: it names the step, this minion and its end. */
function isTicketValid(task, ticket) {
  if (ticket === undefined) return false;
  const [step, minion, untilMs] = JSON.parse(ticket);
  return task.startsWith(`${step}.`) && minion === id && Date.now() <= untilMs;
}

function start({ task, run, spec: text, ticket, deadline_ms: deadlineMs }) {
  const spec = JSON.parse(text);
  if (deadlineMs < performance.now()) return 'late';
  if (spec.advice && !isTicketValid(task, ticket)) return 'ticket';
  extendLease(deadlineMs);
  if (running.get(task)?.run === run) return undefined;
  if (running.has(task) || run <= (highestEnded.get(task) ?? 0)) return 'old';
  if (!hasRoom(spec)) return 'room';
  const [workMs, how] = failsAll ? [FAILING_MS, 'failed'] : [spec.ms, 'done'];
  const timer = workMs === undefined ? undefined : setTimeout(() => end(task, how), workMs);
  running.set(task, { run, spec, timer, startedMs: performance.now() });
  print({ event: 'started', task, run, token });
  return undefined;
}

function stop({ task, run }) {
  if (running.get(task)?.run === run) end(task, 'stopped');
  highestEnded.set(task, Math.max(run, highestEnded.get(task) ?? 0));
}

function rowOf([task, { run, startedMs }]) {
  return [task, run, '', performance.now() - startedMs >= STARTUP_MS ? 100 : 0, 0];
}

async function hold({ deadline_ms: deadlineMs, last_acked: lastAcked, wait_ms: waitMs }) {
  extendLease(deadlineMs);
  for (const [number, task, run, how] of finished)
    if (number <= lastAcked) print({ event: 'acknowledged', task, run, how });
  finished = finished.filter(([number]) => number > lastAcked);
  if (finished.length === 0 && waitMs) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  return { running: [...running].map(rowOf), finished };
}

async function answer(path, call) {
  const callToken = call.fencing_token ?? 0;
  if (callToken < token) return [409, { reason: 'fence' }];
  token = callToken;
  if (path === '/v1/hold') return [200, await hold(call)];
  if (path === '/v1/run-stop') stop(call);
  const reason = path === '/v1/run-start' ? start(call) : undefined;
  return reason ? [409, { reason }] : [200, {}];
}

async function serve(req, res) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const expected = req.headers['x-redwingcrank-expected-instance'];
  if (expected !== undefined && expected !== id) {
    res.writeHead(421).end();
    return;
  }
  const [status, fields] = await answer(req.url, JSON.parse(Buffer.concat(chunks)));
  const stamp = { clock_ms: clockMs(), ...(born !== undefined && { born }) };
  res.writeHead(status, { 'Content-Type': 'application/json' });
  res.end(JSON.stringify({ ...stamp, ...fields }));
}

const server = http.createServer((req, res) => {
  serve(req, res).catch((err) => res.destroy(err));
});
server.listen(port, '127.0.0.1', () => print({ event: 'up' }));
createInterface({ input: process.stdin })
  .on('line', (line) => {
    const { command, task, run, how } = JSON.parse(line);
    if (command === 'fail') failsAll = true;
    else if (command === 'work') failsAll = false;
    else if (running.get(task)?.run === run) end(task, how);
  })
  .on('close', () => process.exit());
