import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

/**
 * The first port of the first slice. All slices are below the range of ephemeral ports, so that no
 * outgoing connection takes a free port before the process that it is meant for listens on it.
 */
const LOWEST_PORT = 20_000;
const SLICE_COUNT = 200;
const PORTS_PER_SLICE = 50;

/** The first port of this process's slice. */
let slice: Promise<number> | undefined;
/** Offset in the slice of the port that was tried last. */
let lastOffset = 0;

/** Tries to listen on a port; resolves to false if the port is in use. */
function tryListen(port: number, keep: boolean): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      if (keep) {
        server.unref();
        resolve(true);
      } else server.close(() => resolve(true));
    });
  });
}

/**
 * Reserves a slice of ports by listening on its first port until this process exits. Test files
 * that run in parallel would otherwise find the same port free, and one of their nodes could not
 * start.
 *
 * @throws Error if all slices are in use.
 */
async function reserveSlice(): Promise<number> {
  const startIndex = randomInt(SLICE_COUNT);
  for (let i = 0; i < SLICE_COUNT; i += 1) {
    const first = LOWEST_PORT + ((startIndex + i) % SLICE_COUNT) * PORTS_PER_SLICE;
    if (await tryListen(first, true)) return first;
  }
  throw new Error('all slices of ports are in use');
}

/** The search for the port that was asked for last. */
let latestSearch: Promise<unknown> = Promise.resolve();

/**
 * Finds a free port; never returns the same port twice. Searches run one after another: at the end of
 * a slice, two of them would hand out its ports once more.
 */
export function freePort(): Promise<number> {
  const search = latestSearch.then(findPort);
  latestSearch = search.catch(() => {});
  return search;
}

async function findPort(): Promise<number> {
  slice ??= reserveSlice();
  const first = await slice;
  while (lastOffset + 1 < PORTS_PER_SLICE) {
    lastOffset += 1;
    const port = first + lastOffset;
    if (await tryListen(port, false)) return port;
  }
  // A measurement starts many platforms in sequence and may need more than one slice.
  slice = undefined;
  lastOffset = 0;
  return findPort();
}
