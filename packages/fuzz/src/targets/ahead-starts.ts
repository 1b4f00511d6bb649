import { Jobs } from './jobs.js';

/** Kinds that fill the workers, and leave appends without an answer while tasks wait. */
const KINDS = [
  ...Array<string>(4).fill('fill'),
  ...Array<string>(12).fill('bind-ahead'),
  ...Array<string>(8).fill('free'),
  ...Array<string>(12).fill('start-ahead'),
];

/**
 * Fuzzes starts under bindings that were stored ahead, while appends stay unanswered or are lost and
 * leaders change: the guarantees of `Jobs`. A target of its own, so that the seeds of `Jobs` keep
 * their meaning.
 */
export class AheadStarts extends Jobs {
  override readonly name = 'ahead-starts';

  protected override readonly bindsAhead = true;

  override readonly coveragePoints = [
    ...new Jobs().coveragePoints,
    'bound-ahead-answered',
    'bound-ahead-unanswered',
    'bound-ahead-lost',
    'started-ahead',
  ];

  protected override get kinds(): readonly string[] {
    return [...super.kinds, ...KINDS];
  }
}
