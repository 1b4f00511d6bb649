import { readFile } from 'node:fs/promises';
import type { Manifest } from '@redwingcrank/protocol';
import { InvalidInputError, readManifest } from '@redwingcrank/protocol';

const MAX_EXCERPT_LENGTH = 80;

/**
 * Reads and validates a manifest file.
 *
 * @throws InvalidInputError (201) with every fault of the file.
 */
export async function readManifestFile(path: string): Promise<Manifest> {
  const text = await readFile(path, 'utf8').catch((err: Error) => {
    throw new InvalidInputError('manifestInvalid', [
      { path, expected: 'a readable file', found: err.message },
    ]);
  });
  const reading = readManifest(parse(path, text));
  if (reading.ok) return reading.manifest;
  throw new InvalidInputError('manifestInvalid', reading.faults);
}

function parse(path: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    const found = `${text.slice(0, MAX_EXCERPT_LENGTH)} (${(err as Error).message})`;
    throw new InvalidInputError('manifestInvalid', [{ path, expected: 'JSON', found }]);
  }
}
