import { hideBin } from 'yargs/helpers';
import { EXIT_CODES, runCli } from './index.js';

// A reader such as `head` closes the pipe once it has read enough: exit without a stack trace.
process.stdout.on('error', (err: NodeJS.ErrnoException) => {
  if (err.code !== 'EPIPE') throw err;
  process.exit(EXIT_CODES.done);
});

process.exitCode = await runCli(hideBin(process.argv));
