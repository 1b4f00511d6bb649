import type { RunFigures } from './run-experiment.js';

const WIDTH = 640;
const BAR = 18;
const LABEL = 200;
const MEASURES = ['checkP99', 'holdP99', 'holdP999'] as const;

/** Draws the tail of each variant as bars, in milliseconds. */
export function drawSvg(title: string, figures: readonly RunFigures[]): string {
  const rows = MEASURES.flatMap((measure) =>
    figures.map((run) => ({
      label: `${measure} ${run.variant} #${run.seed}`,
      value: run[measure],
    })),
  );
  const highest = Math.max(1, ...rows.map((row) => row.value));
  const bars = rows.map(({ label, value }, i) => {
    const y = (i + 2) * BAR;
    const width = ((WIDTH - LABEL - 80) * value) / highest;
    return [
      `<text x="4" y="${y + 12}">${label}</text>`,
      `<rect x="${LABEL}" y="${y}" width="${width.toFixed(1)}" height="${BAR - 4}" fill="#47a"/>`,
      `<text x="${LABEL + width + 4}" y="${y + 12}">${value.toFixed(1)} ms</text>`,
    ].join('');
  });
  const height = (rows.length + 3) * BAR;
  const head = `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}"`;
  const style = 'font-family="sans-serif" font-size="11"';
  return `${head} ${style}><text x="4" y="16">${title}</text>${bars.join('')}</svg>\n`;
}
