import * as decisions from '@redwingcrank/decisions';
import type { ChartFile } from '@redwingcrank/decisions';
import type { GeneratedFile } from './generated-file.js';
import { pageHeader } from './generated-file.js';

type AnyChartFile = ChartFile<string, string>;

const INTRODUCTION = `
Every chart is a data file that is checked at start (every state is reachable, final states accept
no event) and compiled to a table, so that a transition is one look-up. An event that a state does
not accept is refused, not ignored: the caller decides how to handle the refusal.
`;

/** Returns the files of all charts that `decisions` exports, sorted by their ids. */
function chartFiles(): AnyChartFile[] {
  return Object.values(decisions)
    .filter((value) => value instanceof decisions.Chart)
    .map((chart) => (chart as { file: AnyChartFile }).file)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** Returns a state's name for Mermaid, which accepts no dashes in the names of states. */
const mermaidName = (state: string): string => state.replaceAll('-', '_');

function renderChart({ id, initial, states }: AnyChartFile): string {
  const transitions = Object.entries(states).flatMap(([state, { on, final }]) => [
    ...Object.entries(on).map(
      ([event, to]) => `  ${mermaidName(state)} --> ${mermaidName(to ?? '')}: ${event}`,
    ),
    ...(final ? [`  ${mermaidName(state)} --> [*]`] : []),
  ]);
  const lines = ['stateDiagram-v2', `  [*] --> ${mermaidName(initial)}`, ...transitions];
  return `## ${id}\n\n\`\`\`mermaid\n${lines.join('\n')}\n\`\`\`\n`;
}

/** The page of the state charts, drawn from the files that the code interprets. */
export const chartsPage: GeneratedFile = {
  path: 'docs/CHARTS.md',
  generate: () => {
    const head = pageHeader('State charts', 'packages/decisions/src/charts/');
    return [head, INTRODUCTION, ...chartFiles().map(renderChart)].join('\n');
  },
};
