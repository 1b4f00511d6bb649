import { z } from 'zod';
import { manifestSchema } from '@redwingcrank/protocol';
import type { GeneratedFile } from './generated-file.js';

/** The JSON Schema of the manifest, for editors and for pipelines that generate manifests. */
export const manifestSchemaFile: GeneratedFile = {
  path: 'docs/manifest.schema.json',
  generate: () => {
    const schema = z.toJSONSchema(manifestSchema, { io: 'input' });
    const title = 'redwingcrank manifest';
    const description =
      'The structure of a manifest. References between its parts (teams, data centres, unique ' +
      'names) are checked by `redwingcrank validate`.';
    return JSON.stringify({ ...schema, title, description });
  },
};
