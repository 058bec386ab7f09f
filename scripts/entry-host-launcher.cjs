/** Runs the bundle beside it, with the code that was compiled at its build. */
'use strict';

const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const filename = join(__dirname, 'entry-host.bundle.cjs');

const readCode = () => {
  try {
    return readFileSync(join(__dirname, 'entry-host.code'));
  } catch {
    return undefined;
  }
};

// The bundle is ASCII. Code of another build or engine is not taken over.
new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData: readCode(),
}).runInThisContext()(require);
