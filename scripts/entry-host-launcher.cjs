/**
 * Runs the bundle in this folder with the V8 code cache written at its build.
 */
'use strict';

const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const filename = join(__dirname, 'entry-host.bundle.cjs');

const readCodeCache = () => {
  try {
    return readFileSync(join(__dirname, 'entry-host.code'));
  } catch {
    return undefined;
  }
};

// The bundle is ASCII, so latin1 decodes it. V8 ignores the cache of another
// build or V8 version.
new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData: readCodeCache(),
}).runInThisContext()(require);
