import { RESULT_CODES } from '@redwingcrank/protocol';
import { commonSchema } from '../cli-settings.js';
import type { CommonSettings } from '../command.js';
import { Command } from '../command.js';
import type { Output } from '../output.js';

/** Prints the table of the numbered result codes. */
export class Codes extends Command {
  readonly usage = 'codes';

  readonly summary = 'The numbered result codes';

  readonly examples = [['codes', 'What each number means and what to do']] as const;

  readonly schema = commonSchema;

  async run(_settings: CommonSettings, out: Output): Promise<void> {
    const rows = Object.values(RESULT_CODES).map((code) => ({ ...code }));
    out.rows(['code', 'name', 'summary', 'action'], rows);
  }
}
