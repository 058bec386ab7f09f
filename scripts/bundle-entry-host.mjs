/**
 * Bundles the entry host of the platform under target/, so that a start reads
 * few files and compiles only what it has not compiled before: beside the
 * bundle lies the code that the engine made of it.
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {build} from 'esbuild';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');

/** Modules that an entry host loads and never calls, and what is left of them. */
const UNUSED = [
  [/prom-client\/lib\/(cluster|defaultMetrics|pushgateway|summary)\.js$/, ''],
  [/@grpc\/proto-loader\/.*\.js$/, ''],
  [/zod\/v4\/locales\/index\.js$/, ''],
  [/core\/src\/lib\/content-digest\.ts$/, 'export let contentDigest;'],
];

await build({
  entryPoints: [join(root, 'platform/src/main.ts')],
  outfile: join(root, 'target/entry-host.bundle.cjs'),
  bundle: true,
  platform: 'node',
  format: 'cjs',
  mainFields: ['module', 'main'],
  target: 'node20',
  // Packages of this repository are read from their sources.
  conditions: ['basilworks-source'],
  // The launcher runs the bundle as one function.
  banner: {js: '(function (require) {'},
  footer: {js: '})'},
  // The text counts as memory and as time of a start; the map beside it gives
  // the names back to a stack trace.
  minify: true,
  sourcemap: 'external',
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [
    {
      name: 'unused-parts',
      setup({onLoad}) {
        for (const [filter, contents] of UNUSED) {
          onLoad({filter}, () => ({contents}));
        }
      },
    },
  ],
});
copyFileSync(
  join(root, 'scripts/entry-host-launcher.cjs'),
  join(root, 'target/entry-host.cjs'),
);

// Code is taken over only by an engine with the same flags.
const [, words = ''] =
  /^run = "node (.*?) target\//m.exec(
    readFileSync(join(root, 'deploy/system.toml'), 'utf8'),
  ) ?? [];
execFileSync(
  process.execPath,
  [...words.split(' '), join(root, 'scripts/write-code-cache.cjs')],
  {stdio: 'inherit'},
);
