/**
 * Bundles the platform's entry host into target/ with a V8 code cache beside
 * it, so that a start reads few files and compiles only what the cache lacks.
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {build} from 'esbuild';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');

/** Modules that an entry host loads but never calls, and their replacements. */
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
  // Resolves packages of this repository to their TypeScript sources.
  conditions: ['basilworks-source'],
  // Wraps the bundle in a function, which the launcher calls with `require`.
  banner: {js: '(function (require) {'},
  footer: {js: '})'},
  // The size of the text affects memory use and start-up time. The external
  // source map restores names in stack traces.
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

// V8 rejects a code cache that was written under other flags.
const [, flags = ''] =
  /^run = "node (.*?) target\//m.exec(
    readFileSync(join(root, 'deploy/system.toml'), 'utf8'),
  ) ?? [];
execFileSync(
  process.execPath,
  [...flags.split(' '), join(root, 'scripts/write-code-cache.cjs')],
  {stdio: 'inherit'},
);
