/**
 * Bundles the entry host of the platform into one file under target/, so that
 * a start reads one file and loads only what it uses.
 */
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {build} from 'esbuild';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');

await build({
  entryPoints: [join(root, 'platform/src/main.ts')],
  outfile: join(root, 'target/entry-host.mjs'),
  bundle: true,
  platform: 'node',
  format: 'esm',
  mainFields: ['module', 'main'],
  target: 'node20',
  // Packages of this repository are read from their sources.
  conditions: ['basilworks-source'],
  // Libraries in CommonJS need a `require` of their own.
  banner: {
    js: "import {createRequire} from 'node:module';const require = createRequire(import.meta.url);",
  },
  // The text counts as memory and as time of a start; the map beside it gives
  // the names back to a stack trace.
  minify: true,
  sourcemap: 'external',
  legalComments: 'none',
  logLevel: 'warning',
});
