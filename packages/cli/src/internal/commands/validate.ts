import type { z } from 'zod';
import { manifestPathSchema, commonSchema } from '../cli-settings.js';
import { Command } from '../command.js';
import type { Output } from '../output.js';
import { readManifestFile } from '../read-manifest-file.js';

const schema = commonSchema.extend({ file: manifestPathSchema });

/** Checks a manifest without calling any node. */
export class Validate extends Command<z.infer<typeof schema>> {
  readonly usage = 'validate <file>';

  readonly summary = 'Check a manifest file; every fault is listed with its path';

  readonly examples = [['validate examples/demo.json', 'Check a file']] as const;

  readonly schema = schema;

  async run({ file }: z.infer<typeof schema>, out: Output): Promise<void> {
    const { version, replaces, services, jobs, teams } = await readManifestFile(file);
    const counts = `${services.length} services, ${jobs.length} jobs, ${teams.length} teams`;
    out.line(`${file}: version ${version} (replaces ${replaces}) is valid: ${counts}`);
    out.value({ file, valid: true, version, replaces });
  }
}
