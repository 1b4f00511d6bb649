import { chartsPage } from './charts-page.js';
import { codesPage } from './codes-page.js';
import type { GeneratedFile } from './generated-file.js';
import { manifestSchemaFile } from './manifest-schema.js';
import { openapiFile } from './openapi.js';
import { settingsPage } from './settings-page.js';

export type { GeneratedFile } from './generated-file.js';
export { formatGeneratedFile } from './format-generated-file.js';

/** Every committed file that is generated from the code. */
export const GENERATED_FILES: readonly GeneratedFile[] = [
  codesPage,
  chartsPage,
  manifestSchemaFile,
  openapiFile,
  settingsPage,
];
