import { buildSync } from 'esbuild';

/**
 * Puts the node and the libraries it needs at its start into one file: loading many small modules
 * takes most of a second on the small machines that nodes run on.
 */
buildSync({
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/redwingcrank-node.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: false,
  logLevel: 'warning',
});
