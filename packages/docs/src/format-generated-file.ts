import { fileURLToPath } from 'node:url';
import prettier from 'prettier';
import type { GeneratedFile } from './generated-file.js';

const ROOT = new URL('../../../', import.meta.url);

/** Returns a generated file's text, formatted by the project's rules, and its absolute path. */
export async function formatGeneratedFile(
  file: GeneratedFile,
): Promise<{ path: string; text: string }> {
  const path = fileURLToPath(new URL(file.path, ROOT));
  const config = await prettier.resolveConfig(path);
  const text = await prettier.format(file.generate(), { ...config, filepath: path });
  return { path, text };
}
