import fc from 'fast-check';
import type { ManifestSnapshot } from '@redwingcrank/protocol';
import { manifestSnapshotSchema } from '@redwingcrank/protocol';
import type { ManifestVerdict } from '@redwingcrank/decisions';
import { ManifestFold, StreamReader, splitSnapshot } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { ExpiringLog } from './expiring-log.js';
import { manifestRecord } from './manifest-record.js';

const NODE_COUNT = 4;
const MAX_COMMANDS = 80;
const RETAINED_COUNTS = [1, 3, 8, 15];

const node = fc.nat({ max: NODE_COUNT - 1 });

const command = fc.record({
  type: fc.oneof(
    { weight: 5, arbitrary: fc.constant('read' as const) },
    { weight: 3, arbitrary: fc.constantFrom('next', 'gossip') },
    {
      weight: 2,
      arbitrary: fc.constantFrom('racer', 'invalid', 'replay', 'restart', 'expire', 'snapshot'),
    },
    { weight: 1, arbitrary: fc.constantFrom('cutShort', 'lateAnswer', 'logDown', 'logUp') },
  ),
  a: node,
  b: node,
});

type Command = typeof command extends fc.Arbitrary<infer T> ? T : never;

/** Models one node, whose fold is lost in a restart. */
class GossipNode {
  readonly fold = new ManifestFold();

  readonly reader = new StreamReader<ManifestSnapshot, ManifestVerdict>(
    this.fold,
    manifestSnapshotSchema,
  );

  next = 0;
}

/**
 * Fuzzes nodes that restart, read late, lose the log and gossip while operators race and old log
 * records expire: no version may decrease, no manifest that the complete log rejects may be in
 * force, and nodes that exchange their states must end with the same state.
 */
export class ManifestGossip extends FuzzTarget {
  readonly name = 'manifest-gossip';

  readonly coveragePoints = [
    'racer',
    'invalid',
    'replay',
    'restart',
    'cutShort',
    'lateAnswer',
    'logDown',
    'lost',
    'adopted',
    'adoptedWhileDown',
    'recovered',
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const script = fc.array(command, { maxLength: MAX_COMMANDS, size: 'max' });
    return fc.property(script, (commands) => new Script(coverage).run(commands));
  }
}

class Script {
  readonly #coverage: Coverage;

  readonly #log = new ExpiringLog();

  /** The oracle: a fold that applies every record at once. */
  readonly #full = new ManifestFold();

  /** The manifests that were in force after a record of the complete log, by version. */
  readonly #accepted = new Map<number, string>();

  readonly #nodes = Array.from({ length: NODE_COUNT }, () => new GossipNode());

  /** A peer's state in flight that arrives late. */
  #stateInFlight: ManifestSnapshot | undefined;

  #down = false;

  #base = 0;

  constructor(coverage: Coverage) {
    this.#coverage = coverage;
  }

  run(commands: readonly Command[]): void {
    for (const { type, a, b } of commands) {
      this.#coverage.step();
      const before = this.#nodes.map((each) => [each, each.fold.version] as const);
      this.#runCommand(type, a, b);
      // A node restarted in this step has no version; the versions of the others may only increase.
      const remaining = before.filter(([each]) => this.#nodes.includes(each));
      for (const [each, version] of remaining) this.#check(each, version);
    }
    this.#converge();
  }

  #runCommand(type: Command['type'], a: number, b: number): void {
    if (type === 'read') this.#read(this.#at(a));
    else if (type === 'gossip') this.#gossip(this.#at(a), this.#at(b).reader.state());
    else if (type === 'lateAnswer') this.#deliverLateState(this.#at(a), this.#at(b));
    else if (type === 'restart') this.#restart(a);
    else if (type === 'expire') this.#log.expire(RETAINED_COUNTS[a] ?? 1);
    else if (type === 'logDown' || type === 'logUp') this.#setDown(type === 'logDown');
    else if (type === 'snapshot' || type === 'cutShort') this.#snapshot(this.#at(a), type);
    else this.#publish(type, a);
  }

  #at(index: number): GossipNode {
    const found = this.#nodes[index];
    if (!found) throw new Error(`no node ${index}`);
    return found;
  }

  #setDown(down: boolean): void {
    this.#down = down;
    if (down) this.#coverage.hit('logDown');
  }

  #restart(index: number): void {
    this.#coverage.hit('restart');
    this.#nodes[index] = new GossipNode();
  }

  #publish(kind: 'next' | 'racer' | 'invalid' | 'replay', step: number): void {
    if (this.#down) return;
    const { version } = this.#full;
    const id = `m${this.#log.next}`;
    const replaces = kind === 'racer' ? this.#base : version;
    if (kind !== 'next') this.#coverage.hit(kind);
    if (kind === 'replay') this.#append([...this.#log.read(0)][0]?.value ?? {});
    else if (kind === 'invalid') this.#append({ type: 'manifest', id, manifest: { version } });
    else this.#append(manifestRecord(id, replaces + 1 + step, replaces));
    if (this.#full.version > version) this.#base = version;
  }

  #append(record: unknown): void {
    const offset = this.#log.append(record);
    this.#full.apply(offset, record);
    this.#accepted.set(this.#full.version, JSON.stringify(this.#full.inForce));
  }

  #snapshot(writer: GossipNode, kind: 'snapshot' | 'cutShort'): void {
    const state = writer.reader.state();
    if (this.#down || !state) return;
    if (kind === 'cutShort') this.#coverage.hit(kind);
    for (const part of splitSnapshot(`s${this.#log.next}`, state)) {
      const middle = Math.floor(part.data.length / 2);
      this.#log.append({ ...part, parts: 2, data: part.data.slice(0, middle) });
      if (kind === 'cutShort') return;
      this.#log.append({ ...part, part: 1, parts: 2, data: part.data.slice(middle) });
    }
  }

  #read(reader: GossipNode): void {
    if (this.#down) return;
    const { first } = this.#log;
    if (first > reader.next && reader.reader.lost(first)) this.#coverage.hit('lost');
    for (const entry of this.#log.read(reader.next)) {
      const wasIncomplete = !reader.reader.complete;
      reader.reader.take(entry);
      if (wasIncomplete && reader.reader.complete) this.#coverage.hit('recovered');
    }
    Object.assign(reader, { next: Math.max(reader.next, this.#log.next) });
  }

  #gossip(to: GossipNode, state: ManifestSnapshot | undefined): void {
    if (!to.reader.adopt(state)) return;
    this.#coverage.hit('adopted');
    if (this.#down) this.#coverage.hit('adoptedWhileDown');
  }

  /** Delivers the state that was requested earlier and requests another one. */
  #deliverLateState(to: GossipNode, from: GossipNode): void {
    if (this.#stateInFlight) this.#coverage.hit('lateAnswer');
    this.#gossip(to, this.#stateInFlight);
    this.#stateInFlight = from.reader.state();
  }

  #check({ fold }: GossipNode, version: number): void {
    if (fold.version < version)
      throw new Error(`the version decreased from ${version} to ${fold.version}`);
    if (fold.version === 0) return;
    if (this.#accepted.get(fold.version) !== JSON.stringify(fold.inForce)) {
      throw new Error(`version ${fold.version} is in force on a node but was never accepted`);
    }
  }

  /** Restores the log and exchanges all states: afterwards all nodes must agree if any is complete. */
  #converge(): void {
    this.#down = false;
    this.#nodes.forEach((each) => this.#read(each));
    const states = this.#nodes.map((each) => each.reader.state());
    for (const each of this.#nodes) states.forEach((state) => this.#gossip(each, state));
    const complete = this.#nodes.filter((each) => each.reader.complete);
    if (complete.length !== 0 && complete.length !== NODE_COUNT && states.some((state) => state)) {
      throw new Error(
        `${NODE_COUNT - complete.length} nodes are incomplete although a peer has a state`,
      );
    }
    for (const { fold } of complete) {
      if (fold.version !== this.#full.version) {
        throw new Error(
          `a node ended at version ${fold.version}, the complete log at ${this.#full.version}`,
        );
      }
    }
  }
}
