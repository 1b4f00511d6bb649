import fc from 'fast-check';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { checkSends, requestSends } from './request-sends.js';
import { HOSTS, KEYS, RequestWorld, OTHER_CONTENT } from './request-world.js';

const KINDS = [
  'send',
  'deliver',
  'start',
  'finish',
  'lose',
  'refuse',
  'crash',
  'drain',
  'cut',
  'heal',
  'wait',
] as const;

/** The steps drawn more often, so that runs proceed to their answers. */
const FREQUENT_KINDS = [
  'send',
  'send',
  'deliver',
  'deliver',
  'deliver',
  'start',
  'start',
  'finish',
] as const;

const step = fc.record({
  kind: fc.constantFrom(...KINDS, ...FREQUENT_KINDS),
  key: fc.nat(KEYS.length - 1),
  host: fc.nat(HOSTS.length - 1),
  /** Selects one of the open messages or runs, modulo their number. */
  index: fc.nat(20),
  sendsAge: fc.boolean(),
  contentDraw: fc.integer({ min: 0, max: OTHER_CONTENT }),
  ms: fc.constantFrom(1, 50, 500, 5_000, 29_000, 300_000),
});

export type RequestStep = typeof step extends fc.Arbitrary<infer T> ? T : never;

const LENGTHS = { minLength: 20, maxLength: 120, size: 'max' } as const;

/**
 * Fuzzes callers that repeat keys at any host while the keys' homes crash, are disconnected and lose
 * answers: each key may run at most once.
 */
export class Requests extends FuzzTarget {
  readonly name = 'requests';

  readonly coveragePoints = [
    'repeat-while-running',
    'repeat-when-done',
    'repeat-after-crash',
    'crash-while-running',
    'home-cut',
    'home-drained',
    'memory-handed-on',
    'answer-lost',
    'answer-after-crash',
    'not-run',
    'entry-dropped',
    'late-send',
    'content-differs',
    'send-lost',
    'refused-after-lost',
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const script = fc.array(step, LENGTHS);
    return fc.property(script, fc.array(requestSends), (steps, requests) => {
      for (const request of requests) checkSends(request, coverage);
      const world = new RequestWorld(coverage);
      for (const drawn of steps) {
        coverage.step();
        world.step(drawn);
      }
    });
  }
}
