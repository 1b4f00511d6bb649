import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { DemoPlatform } from '@redwingcrank/standins';
import type { CostRow } from './decision-costs.js';
import { slopeOf } from './slope.js';

const NODE_COUNTS = [2, 4, 8];
const SETTLE_MS = 4_000;
const WATCH_MS = 10_000;
const HELLO_MS = 500;

/** What one idle node used while it was watched. */
interface Idle {
  readonly cpuPercent: number;
  readonly residentMb: number;
}

async function metricOf(address: string, name: string): Promise<number> {
  const res = await fetch(`http://${address}/metrics`);
  const line = (await res.text()).split('\n').find((text) => text.startsWith(`${name} `));
  return Number(line?.split(' ')[1]);
}

/** Runs idle nodes of one data centre, and returns what the first of them used. */
async function watchIdle(nodes: number, nodeFlags: readonly string[]): Promise<Idle> {
  const platform = new DemoPlatform({
    dataCentres: ['dc1'],
    nodesPerDataCentre: nodes,
    hostsPerDataCentre: 1,
    capacity: { cpu: 4, memoryMb: 4_000, accelerators: 0 },
    leaseMs: 10_000,
    jobMs: 1_000,
    serviceMs: 5,
    nodeFlags: [...nodeFlags, '--hello-ms', String(HELLO_MS)],
  });
  await platform.start();
  try {
    await wait(SETTLE_MS);
    const [address = ''] = platform.adminAddresses;
    const before = await metricOf(address, 'process_cpu_seconds_total');
    await wait(WATCH_MS);
    const used = (await metricOf(address, 'process_cpu_seconds_total')) - before;
    const resident = await metricOf(address, 'process_resident_memory_bytes');
    return { cpuPercent: (used * 100_000) / WATCH_MS, residentMb: resident / 1_000_000 };
  } finally {
    await platform.stop();
  }
}

/** The bytes that a node sends a peer in one exchange, headers included. */
async function helloBytes(): Promise<number> {
  let requests = 0;
  const sockets = new Map<object, number>();
  const server = http.createServer((req, res) => {
    requests += 1;
    req.resume();
    req.on('end', () => {
      sockets.set(req.socket, req.socket.bytesRead);
      res.writeHead(400, { 'content-type': 'application/json' }).end('{}');
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await watchIdle(1, ['--peers', `counter@dc1=127.0.0.1:${port}`]);
  server.close();
  server.closeAllConnections();
  return [...sockets.values()].reduce((sum, bytes) => sum + bytes, 0) / requests;
}

/** The costs of real node processes that have nothing to do but talk to one another. */
export async function nodeCosts(): Promise<CostRow[]> {
  const points: { readonly peers: number; readonly idle: Idle }[] = [];
  for (const nodes of NODE_COUNTS) {
    points.push({ peers: nodes - 1, idle: await watchIdle(nodes, []) });
  }
  const entry = await watchIdle(2, ['--roles', 'entry']);
  const scheduler = await watchIdle(2, ['--roles', 'scheduler']);
  const perPeer = slopeOf(
    points.map(({ peers, idle }) => ({ size: peers, cost: idle.cpuPercent })),
  );
  const perPeerMb = slopeOf(
    points.map(({ peers, idle }) => ({ size: peers, cost: idle.residentMb })),
  );
  return [
    ...points.flatMap(({ peers, idle }) => [
      {
        what: `both roles, ${peers} peers: processor`,
        figure: idle.cpuPercent,
        unit: '% of a core',
      },
      { what: `both roles, ${peers} peers: resident`, figure: idle.residentMb, unit: 'MB' },
    ]),
    { what: 'entry alone, 1 peer: resident', figure: entry.residentMb, unit: 'MB' },
    { what: 'scheduler alone, 1 peer: resident', figure: scheduler.residentMb, unit: 'MB' },
    {
      what: `one more peer at --hello-ms ${HELLO_MS}: processor`,
      figure: perPeer,
      unit: '% of a core',
    },
    { what: 'one more peer: resident', figure: perPeerMb, unit: 'MB' },
    { what: 'hello: bytes sent to a peer', figure: await helloBytes(), unit: 'B' },
  ];
}
