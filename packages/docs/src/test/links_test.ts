import assert from 'node:assert/strict';
import { access, readFile, readdir } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'node:test';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const LINK = /\]\((?!https?:|#)([^)#]+)(?:#[^)]*)?\)/g;

test('every link between the pages points to an existing file', async () => {
  const docs = await readdir(join(ROOT, 'docs'), { recursive: true });
  const pages = docs.filter((name) => name.endsWith('.md')).map((name) => join('docs', name));
  for (const page of ['README.md', ...pages]) {
    const text = await readFile(join(ROOT, page), 'utf8');
    for (const [, target = ''] of text.matchAll(LINK)) {
      const path = join(ROOT, dirname(page), target);
      await assert.doesNotReject(access(path), `${page}: ${target}`);
    }
  }
});
