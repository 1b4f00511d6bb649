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

/** Drawn more often, so that runs get as far as their answers. */
const USUAL = [
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
  kind: fc.constantFrom(...KINDS, ...USUAL),
  key: fc.nat(KEYS.length - 1),
  host: fc.nat(HOSTS.length - 1),
  /** Which of the messages or runs that are open; taken modulo their number. */
  index: fc.nat(20),
  stated: fc.boolean(),
  sameRequest: fc.integer({ min: 0, max: OTHER_CONTENT }),
  ms: fc.constantFrom(1, 50, 500, 5_000, 29_000, 300_000),
});

export type RequestStep = typeof step extends fc.Arbitrary<infer T> ? T : never;

const LENGTHS = { minLength: 20, maxLength: 120, size: 'max' } as const;

/** Callers repeat keys anywhere while homes crash, are cut off and lose answers: one run at most. */
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
