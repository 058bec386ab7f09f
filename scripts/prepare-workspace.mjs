/**
 * Installs the locked dependencies if they are out of date and builds all
 * packages incrementally, so that `npm test` and `npm run demo` work on a fresh
 * clone.
 */
import {spawnSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const marker = join(root, 'node_modules', '.prepared');

const lockHash = createHash('sha256')
  .update(readFileSync(join(root, 'package-lock.json')))
  .digest('hex');

const run = (command, commandArguments) => {
  const result = spawnSync(command, commandArguments, {
    cwd: root,
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
};

const installed =
  existsSync(marker) && readFileSync(marker, 'utf8') === lockHash;
if (!installed) {
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
  writeFileSync(marker, lockHash);
}
run(process.execPath, [
  join(root, 'node_modules', 'typescript', 'bin', 'tsc'),
  '-b',
]);
