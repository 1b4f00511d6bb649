import { hideBin } from 'yargs/helpers';
import { CodedError } from '@redwingcrank/protocol';
import type { Settings } from './index.js';
import { NodeProcess, describeLoaded, loadSettings } from './index.js';

const BAD_SETTINGS_EXIT = 2;

async function runNode(settings: Settings): Promise<void> {
  const node = new NodeProcess(settings);
  const ports = await node.start();
  process.stdout.write(`${JSON.stringify(ports)}\n`);
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      node.drain().then(() => process.exit(0));
    });
  }
}

try {
  const loaded = await loadSettings(hideBin(process.argv));
  if (loaded.settings.printConfig) process.stdout.write(`${describeLoaded(loaded).join('\n')}\n`);
  else await runNode(loaded.settings);
} catch (err) {
  if (!(err instanceof CodedError)) throw err;
  process.stderr.write(`error ${err.result.code} ${err.result.name}\n${err.message}\n`);
  process.exit(BAD_SETTINGS_EXIT);
}
