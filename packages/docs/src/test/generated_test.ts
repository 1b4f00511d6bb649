import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { readManifest } from '@redwingcrank/protocol';
import { GENERATED_FILES, formatGeneratedFile } from '../index.js';

for (const file of GENERATED_FILES) {
  test(`${file.path} matches what the code generates`, async () => {
    const { path, text } = await formatGeneratedFile(file);
    const committed = (await readFile(path, 'utf8')).split('\n');
    const stale = committed.findIndex((line, i) => line !== text.split('\n')[i]);
    const same = committed.join('\n') === text;
    assert.ok(same, `line ${stale + 1}: run npm run docs and commit the result`);
  });
}

for (const name of ['demo', 'upepo', 'magnolia']) {
  test(`examples/${name}.json is a valid manifest`, async () => {
    const url = new URL(`../../../../examples/${name}.json`, import.meta.url);
    const reading = readManifest(JSON.parse(await readFile(url, 'utf8')));
    assert.deepEqual(reading.ok ? [] : reading.faults, []);
  });
}
