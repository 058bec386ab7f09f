/**
 * Starts the bundled entry host once, on loopback and without a store, and
 * writes the code that V8 compiled to a cache. Must run with the same V8 flags
 * as the entry host.
 */
'use strict';

const {mkdtempSync, readFileSync, rmSync, writeFileSync} = require('node:fs');
const {tmpdir} = require('node:os');
const {join} = require('node:path');
const {Script} = require('node:vm');

/** Time after which the start counts as finished, milliseconds. */
const STARTUP_MS = 400;

const target = join(__dirname, '../target');
const filename = join(target, 'entry-host.bundle.cjs');
const directory = mkdtempSync(join(tmpdir(), 'entry-host-'));
const settings = join(directory, 'settings.json');

const ANY_PORT = '127.0.0.1:0';
writeFileSync(
  settings,
  JSON.stringify({
    host: 'build',
    zone: 'build',
    callerAddress: ANY_PORT,
    readinessAddress: ANY_PORT,
    directoryAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    seeds: [],
    storeAddress: '127.0.0.1:1',
    addressLifetimeS: 5,
    stopGraceS: 8,
    orderLeaseMs: 3_000,
    retryBudget: {ratio: 0.2, extra: 50, windowS: 10},
  }),
);
process.env.ENTRY_HOST_SETTINGS = settings;
process.argv.splice(2, Infinity, '--settings-variable', 'ENTRY_HOST_SETTINGS');

const script = new Script(readFileSync(filename, 'latin1'), {filename});
process.stdout.write = () => true;
setTimeout(() => {
  writeFileSync(join(target, 'entry-host.code'), script.createCachedData());
  rmSync(directory, {recursive: true});
  process.exit();
}, STARTUP_MS);
script.runInThisContext()(require);
