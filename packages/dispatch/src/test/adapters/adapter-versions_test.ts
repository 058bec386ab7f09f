import test from 'ava';

import {AdapterVersions, FIRST_VERSION} from '../../adapters/index.js';

const NAME = {model: 'base', adapter: 'a1'};

const instant = (milliseconds: number) => ({
  monotonicMs: milliseconds,
  wallMs: milliseconds,
});

test('a version never decreases', (t) => {
  const versions = new AdapterVersions();
  t.is(versions.get(NAME), FIRST_VERSION);
  versions.update([{...NAME, version: 3}], instant(10));
  versions.update([{...NAME, version: 2}], instant(20));
  t.is(versions.get(NAME), 3);
  t.is(versions.firstNewer(NAME, 3), undefined);
});

// Guards against bounds that begin anew with each version of a series.
test('the first newer version counts, not the newest', (t) => {
  const versions = new AdapterVersions();
  for (const version of [2, 3, 4]) {
    const atMs = version * 1_000;
    versions.update([{...NAME, version}], instant(atMs), instant(atMs - 300));
  }
  t.deepEqual(versions.firstNewer(NAME, 1), {
    version: 2,
    learnedAt: instant(2_000),
    announcedAfter: instant(1_700),
  });
  t.is(versions.firstNewer(NAME, 3)?.version, 4);
});

test('a long series keeps a bounded number of announcements', (t) => {
  const versions = new AdapterVersions();
  for (let version = 2; version < 100; version += 1) {
    versions.update([{...NAME, version}], instant(version));
  }
  t.is(versions.get(NAME), 99);
  t.is(versions.firstNewer(NAME, 1)?.version, 84);
});
