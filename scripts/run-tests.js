/**
 * Runs the compiled test files named on the command line. A failing test that `KNOWN-RED.txt` lists
 * is printed and passed over; any other failure ends the run with an error.
 *
 * Each line there reads `FILE > NAME | cause | issue`: the source file, the test's whole name. Days
 * that are played by hand stand there too, as `played day > ...`; they are printed and excuse no test.
 */
import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec as Spec } from 'node:test/reporters';

/** One test file may take so long, in milliseconds: those that start processes take a minute. */
const TIMEOUT_MS = 240_000;

const LIST = 'KNOWN-RED.txt';

const PLAYED_DAY = 'played day >';

function readKnown() {
  if (!existsSync(LIST)) return [];
  const lines = readFileSync(LIST, 'utf8').split('\n');
  return lines.map((line) => line.trim()).filter((line) => line && !line.startsWith('#'));
}

/** The source file of a compiled test. */
function sourceOf(file) {
  const relative = path.relative(process.cwd(), file);
  return relative.replace(/(^|\/)dist\//, '$1src/').replace(/\.js$/, '.ts');
}

const known = readKnown();
const unexpected = [];
const passedOver = new Set();

function failed({ name, file, details }) {
  // A parent fails with its children; these have been counted.
  if (details.error?.failureType === 'subtestsFailed') return;
  const id = `${sourceOf(file ?? '')} > ${name}`;
  const line = known.find((entry) => entry.startsWith(`${id} |`));
  if (line) passedOver.add(line);
  else unexpected.push(id);
}

function outcomeOf(line) {
  if (line.startsWith(PLAYED_DAY)) return 'not played here';
  return passedOver.has(line) ? 'passed over' : 'did not fail this time';
}

const files = process.argv.slice(2).map((file) => path.resolve(file));
const events = run({ files, concurrency: true, timeout: TIMEOUT_MS });
events.on('test:fail', failed);
events.on('end', () => {
  setImmediate(() => {
    for (const line of known) {
      process.stdout.write(`KNOWN RED, ${outcomeOf(line)}: ${line}\n`);
    }
    for (const id of unexpected) process.stdout.write(`FAILED: ${id}\n`);
    process.exitCode = unexpected.length > 0 ? 1 : 0;
  });
});
events.compose(new Spec()).pipe(process.stdout);
