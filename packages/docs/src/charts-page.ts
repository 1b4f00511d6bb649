import * as decisions from '@redwingcrank/decisions';
import type { ChartFile } from '@redwingcrank/decisions';
import type { GeneratedFile } from './generated-file.js';
import { pageHeader } from './generated-file.js';

type AnyChartFile = ChartFile<string, string>;

const INTRODUCTION = `
Every chart is a data file that is checked at start (each state reachable, final states dead ends)
and flattened to a table, so that a step is one look-up. An event that a state does not take is
refused, not ignored: the caller decides what the refusal means.
`;

/** Every chart that \`decisions\` exports, by name. */
function chartFiles(): AnyChartFile[] {
  return Object.values(decisions)
    .filter((value) => value instanceof decisions.Chart)
    .map((chart) => (chart as { file: AnyChartFile }).file)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** Mermaid reads no dashes in the names of states. */
const label = (state: string): string => state.replaceAll('-', '_');

function draw({ id, initial, states }: AnyChartFile): string {
  const steps = Object.entries(states).flatMap(([state, { on, final }]) => [
    ...Object.entries(on).map(
      ([event, to]) => `  ${label(state)} --> ${label(to ?? '')}: ${event}`,
    ),
    ...(final ? [`  ${label(state)} --> [*]`] : []),
  ]);
  const lines = ['stateDiagram-v2', `  [*] --> ${label(initial)}`, ...steps];
  return `## ${id}\n\n\`\`\`mermaid\n${lines.join('\n')}\n\`\`\`\n`;
}

/** The state charts, drawn from the files that the code interprets. */
export const chartsPage: GeneratedFile = {
  path: 'docs/CHARTS.md',
  generate: () => {
    const head = pageHeader('State charts', 'packages/decisions/src/charts/');
    return [head, INTRODUCTION, ...chartFiles().map(draw)].join('\n');
  },
};
