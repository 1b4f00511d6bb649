/**
 * A stand-in for a minion, as a process of its own: it is crashed with SIGKILL. Its argument is JSON
 * with `id`, `port`, `capacity`, `maxHoldMs` and, where lifetimes may share an id, `born`. It prints
 * a line of JSON for each start, each end, and each end that is forgotten because it was acknowledged.
 *
 * The payload of a task says what its runs do: a number is their duration in milliseconds, `last`
 * is a task that lasts, `fail` one that can never be done.
 */

import http from 'node:http';

const MAX_WAIT_MS = 2_000;

const MAX_LISTED_ENDS = 500;

const CHECKPOINT_INTERVAL_MS = 1_000;

/** How long a task that lasts takes to be at work. */
const STARTUP_MS = 300;

/** How long a run of a task that can never be done takes. */
const FAILS_AFTER_MS = 100;

const { id, port, capacity, maxHoldMs, born } = JSON.parse(process.argv[2]);

const startedMs = performance.now();

const running = new Map();

const newestEndedRun = new Map();

let ended = [];

let endCount = 0;

let highestToken = 0;

let leaseEndMs = 0;

let leaseTimer;

let waiters = [];

const print = (line) => process.stdout.write(`${JSON.stringify(line)}\n`);

/** The time of the minion's own clock, which starts with its lifetime. */
const clockMs = () => Math.floor(performance.now() - startedMs);

const keyOf = (task, run) => `${task} ${run}`;

const percentOf = ({ startMs, workMs }) => {
  const ranMs = clockMs() - startMs;
  if (workMs === undefined) return ranMs >= STARTUP_MS ? 100 : 0;
  return Math.min(99, Math.floor((100 * ranMs) / workMs));
};

const checkpointOf = ({ startMs, checkpoint, saves }) => {
  const steps = Math.floor((clockMs() - startMs) / CHECKPOINT_INTERVAL_MS);
  return saves && steps > 0 ? steps.toString(16).padStart(16, '0') : checkpoint;
};

function endRun(key, how) {
  const run = running.get(key);
  const { task } = run;
  clearTimeout(run.timer);
  running.delete(key);
  newestEndedRun.set(task, Math.max(run.run, newestEndedRun.get(task) ?? 0));
  endCount += 1;
  ended.push([endCount, task, run.run, how, how === 'done' ? '' : checkpointOf(run)]);
  print({ event: 'end', number: endCount, task, run: run.run, how });
  const woken = waiters;
  waiters = [];
  for (const wake of woken) wake();
}

function extendLease(deadlineMs) {
  if (deadlineMs === undefined) return;
  const endMs = Math.min(deadlineMs, clockMs() + maxHoldMs);
  if (endMs <= leaseEndMs) return;
  leaseEndMs = endMs;
  clearTimeout(leaseTimer);
  leaseTimer = setTimeout(
    () => {
      print({ event: 'lease-over' });
      for (const key of [...running.keys()]) endRun(key, 'lapsed');
    },
    Math.max(0, leaseEndMs - clockMs()),
  );
}

const lifetime = born === undefined ? {} : { born };

const accept = (fields = {}) => ({
  status: 200,
  json: { ...lifetime, clock_ms: clockMs(), ...fields },
});

const refuse = (reason) => ({ status: 409, json: { ...lifetime, clock_ms: clockMs(), reason } });

function start({ task, run, spec, deadline_ms: deadlineMs, checkpoint = '' }) {
  if (deadlineMs < clockMs()) return refuse('late');
  extendLease(deadlineMs);
  const key = keyOf(task, run);
  if (running.has(key)) return accept();
  if (run <= (newestEndedRun.get(task) ?? 0)) return refuse('old');
  if (running.size >= capacity) return refuse('room');
  const [kind, saves] = spec.split(' ');
  const isHopeless = kind === 'fail';
  const workMs = kind === 'last' ? undefined : Number(isHopeless ? FAILS_AFTER_MS : kind);
  const how = isHopeless ? 'failed' : 'done';
  const timer = workMs === undefined ? undefined : setTimeout(() => endRun(key, how), workMs);
  const saved = { checkpoint, saves: saves === 'saves' };
  running.set(key, { task, run, timer, workMs, startMs: clockMs(), ...saved });
  print({ event: 'start', task, run });
  return accept();
}

function stop({ task, run }) {
  newestEndedRun.set(task, Math.max(run, newestEndedRun.get(task) ?? 0));
  const key = keyOf(task, run);
  if (running.has(key)) endRun(key, 'stopped');
  return accept();
}

async function hold({ deadline_ms: deadlineMs, last_acked: lastAcked = 0, wait_ms: waitMs = 0 }) {
  extendLease(deadlineMs);
  for (const [number, task, run, how] of ended)
    if (number <= lastAcked) print({ event: 'forget', number, task, run, how, lastAcked });
  ended = ended.filter(([number]) => number > lastAcked);
  if (ended.length === 0 && waitMs > 0) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.min(waitMs, MAX_WAIT_MS));
      waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  const rows = [...running.values()].map((run) => [
    run.task,
    run.run,
    checkpointOf(run),
    percentOf(run),
    0,
  ]);
  return accept({ running: rows, finished: ended.slice(0, MAX_LISTED_ENDS) });
}

async function answer(path, body) {
  const token = body.fencing_token ?? 0;
  if (token < highestToken) return refuse('fence');
  highestToken = token;
  switch (path) {
    case '/v1/run-start':
      return start(body);
    case '/v1/run-stop':
      return stop(body);
    case '/v1/hold':
      return hold(body);
    default:
      return accept();
  }
}

const server = http.createServer(async (req, res) => {
  const chunks = [];
  try {
    for await (const chunk of req) chunks.push(chunk);
  } catch {
    return;
  }
  const expected = req.headers['x-redwingcrank-expected-instance'];
  const isOther = expected !== undefined && expected !== id;
  const { status, json = {} } = isOther
    ? { status: 421 }
    : await answer(req.url, JSON.parse(Buffer.concat(chunks).toString() || '{}'));
  const text = JSON.stringify(json);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
});
server.keepAliveTimeout = 0;
server.listen(port, '127.0.0.1', () => print({ event: 'up', id, port: server.address().port }));
// The end of the script, in whatever way, ends its minions.
process.stdin.on('end', () => process.exit(0)).resume();
