import { createRequire } from 'node:module';

const { version } = createRequire(import.meta.url)('../../package.json') as { version: string };

/** The version in this package's `package.json`. */
export const RELEASE = version;
