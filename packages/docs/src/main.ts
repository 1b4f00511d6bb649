import { writeFile } from 'node:fs/promises';
import { GENERATED_FILES, formatGeneratedFile } from './index.js';

for (const file of GENERATED_FILES) {
  const { path, text } = await formatGeneratedFile(file);
  await writeFile(path, text);
  process.stdout.write(`${file.path}\n`);
}
