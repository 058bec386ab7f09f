import {readFileSync} from 'node:fs';

import test from 'ava';

import {settingsReference} from '../settings-reference.js';

const PAGE = new URL('../../../../docs/operators/settings.md', import.meta.url);

/** The formatter pads the cells of a table. */
const withoutPadding = (page: string): string =>
  page.replace(/ +\|/g, ' |').replace(/\| -+/g, '| ---');

test('the page of settings is the one made from the schema', (t) => {
  t.is(
    withoutPadding(readFileSync(PAGE, 'utf8')),
    withoutPadding(settingsReference()),
  );
});

test('every key has a meaning', (t) => {
  const rows = settingsReference()
    .split('\n')
    .filter((line) => line.startsWith('| `'));
  t.true(rows.length > 20);
  t.deepEqual(
    rows.filter((row) => /\|\s*\|$/.test(row)),
    [],
  );
});
