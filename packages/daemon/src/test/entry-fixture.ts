import net from 'node:net';
import { afterEach } from 'node:test';
import { Registry } from 'prom-client';
import { HybridClock, readManifest } from '@redwingcrank/protocol';
import type { Manifest } from '@redwingcrank/protocol';
import { LeastExpectedTime, seededRandom } from '@redwingcrank/decisions';
import { Dispatcher } from '../internal/dispatcher.js';
import { EndpointPool } from '../internal/endpoint-pool.js';
import { EntryMetrics } from '../internal/entry-metrics.js';
import { EntryTask } from '../internal/entry-task.js';
import { EventLog } from '../internal/event-log.js';
import { KeyHomeTask } from '../internal/key-home-task.js';
import { KeyedRequests, digestOfHosts } from '../internal/keyed-requests.js';
import { RawEndpoint } from './raw-endpoint.js';

export const DEADLINE_MS = 1_500;

const HOSTS = [{ nodeId: 'n1', dataCentre: 'dc1' }];

/** Longer than the pause in the test of the drain, even on a busy machine. */
const DRAIN_IDLE_MS = 500;

const WINDOW_MS = 600_000;

function manifestOf(slots: number): Manifest {
  const parsed = readManifest({
    apiVersion: 'redwingcrank/v1',
    version: 1,
    replaces: 0,
    dataCentres: ['dc1'],
    teams: [{ name: 't', quota: { cpu: 1, memoryMb: 1 } }],
    services: [
      {
        name: 's',
        team: 't',
        pathPrefix: '/s',
        replicas: { dc1: 1 },
        resources: { cpu: 1, memoryMb: 1 },
        slots,
        defaultDeadlineMs: DEADLINE_MS,
      },
    ],
    jobs: [],
  });
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.faults));
  return parsed.manifest;
}

const runningFixtures = new Set<EntryFixture>();

// The listener of a failed test must not keep its process from ending.
afterEach(async () => {
  for (const fixture of runningFixtures) await fixture.stop();
});

/** The entry role of one node in this process, in front of endpoints with any behaviour. */
export class EntryFixture {
  readonly endpoints: RawEndpoint[] = [];

  readonly events = new EventLog('n1', new HybridClock(Date.now), 'silent');

  readonly #pool: EndpointPool;

  readonly #entry: EntryTask;

  readonly #addresses: string[] = [];

  port = 0;

  constructor(slots = 8, hasNoPredecessor = true) {
    const manifest = manifestOf(slots);
    const metrics = new EntryMetrics(new Registry());
    const localEntryHosts = () => 1;
    this.#pool = new EndpointPool({ dataCentre: 'dc1', entryHosts: 1, localEntryHosts });
    const endpoints = () => [
      this.#addresses.map((address) => ({ address, taskId: 't', dataCentre: 'dc1', hostId: 'h' })),
    ];
    const picker = new LeastExpectedTime(seededRandom(1));
    const dispatcher = new Dispatcher({ pool: this.#pool, picker, metrics, endpoints });
    const home = new KeyHomeTask({
      dispatcher,
      metrics,
      service: () => manifest.services[0],
      isHome: () => true,
      hostsDigest: digestOfHosts(HOSTS),
      windowMs: WINDOW_MS,
    });
    home.open(hasNoPredecessor ? 'nobody' : undefined);
    const homeClient = {
      silent: () => true,
      runKeyed: () => Promise.reject(new Error('this node is the only one')),
    };
    this.#entry = new EntryTask({
      metrics,
      dispatcher,
      events: this.events,
      keyed: new KeyedRequests({ nodeId: 'n1', hosts: HOSTS, home, homeClient }),
      manifest: () => manifest,
      drainIdleMs: DRAIN_IDLE_MS,
    });
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}/s`;
  }

  async start(endpoints: number): Promise<this> {
    runningFixtures.add(this);
    for (let i = 0; i < endpoints; i += 1) {
      const endpoint = new RawEndpoint();
      this.endpoints.push(endpoint);
      this.#addresses.push(await endpoint.listen());
    }
    this.port = await this.#entry.listen(0, '127.0.0.1');
    return this;
  }

  /** Returns how many complete requests for a path all endpoints received. */
  runsOf(path: string): number {
    return this.endpoints.flatMap(({ runs }) => runs).filter((run) => run === path).length;
  }

  drain(): Promise<number> {
    return this.#entry.drain(5_000);
  }

  async stop(): Promise<void> {
    runningFixtures.delete(this);
    await this.drain();
    this.#pool.destroy();
    this.endpoints.forEach((endpoint) => endpoint.close());
  }

  /** Sends raw bytes and returns all received text until the connection ends. */
  raw(bytes: string): Promise<string> {
    return new Promise((resolve) => {
      const socket = net.connect(this.port, '127.0.0.1');
      let text = '';
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
      });
      socket.on('error', () => {});
      socket.on('close', () => resolve(text));
      socket.write(bytes);
      socket.setTimeout(DEADLINE_MS * 2, () => socket.destroy());
    });
  }
}

export interface ReceivedAnswer {
  readonly status: number;
  readonly code: number | undefined;
  readonly outcome: string | undefined;
  readonly text: string;
  readonly headers: Headers;
}

/**
 * Sends a request and reads the complete answer.
 *
 * @throws Error if the answer was cut short.
 */
export async function sendRequest(url: string, init: RequestInit = {}): Promise<ReceivedAnswer> {
  const res = await fetch(url, init);
  const text = await res.text();
  const isProblem = res.headers.get('content-type') === 'application/problem+json';
  const problem = isProblem ? (JSON.parse(text) as { code: number; outcome: string }) : undefined;
  const { status, headers } = res;
  return { status, headers, text, code: problem?.code, outcome: problem?.outcome };
}
