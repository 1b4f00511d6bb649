import { fileURLToPath } from 'node:url';
import prettier from 'prettier';
import type { GeneratedFile } from './generated-file.js';

const ROOT = new URL('../../../', import.meta.url);

/** The text of a generated file as the formatter of the project leaves it, and where it belongs. */
export async function formatGeneratedFile(
  file: GeneratedFile,
): Promise<{ path: string; text: string }> {
  const path = fileURLToPath(new URL(file.path, ROOT));
  const config = await prettier.resolveConfig(path);
  const text = await prettier.format(file.generate(), { ...config, filepath: path });
  return { path, text };
}
