import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { addCapacityCommand } from './capacity/command.js';
import { addRequestsCommand } from './requests/command.js';
import { addRoundsCommand } from './rounds/command.js';
import { registerScheduling } from './scheduling/commands.js';

// Each experiment adds its command here.
const argv = yargs(hideBin(process.argv)).scriptName('experiment');
await registerScheduling(addCapacityCommand(addRequestsCommand(addRoundsCommand(argv))))
  .demandCommand(1)
  .strict()
  .parse();
