import test from 'ava';

import {createHost, SERVICE} from './host-with-streams.js';

/** Where the keepers of `createHost` say that each stream began. */
const KNOWN_TO_KEEPERS = {type: 'known', softwareVersion: 'v2'};

/** What follows from there being one version. */
const SOLE_VERSION = {type: 'known', softwareVersion: 'v1'};

// Guards against streams that go on at another software version: a host that
// was out of step while servers of a new version joined took its old views for
// proof that there is only one.
for (const ageMs of [500, 2_900, 7_000]) {
  test(`a version that joined is found by a host whose views are ${ageMs} ms old`, async (t) => {
    const {world, streams, fleet} = createHost(ageMs);
    world.recorded = ['v1', 'v2'];
    world.serving = ['v1', 'v2'];
    t.like(await streams.versionOf(SERVICE, 'r1'), KNOWN_TO_KEEPERS);
    fleet.close();
  });
}

// Before the first record, streams begin at any version that serves.
test('a version that is not on record yet is found', async (t) => {
  const {world, streams, fleet} = createHost(1_000);
  world.recorded = [];
  world.serving = ['v1', 'v2'];
  t.like(await streams.versionOf(SERVICE, 'r1'), KNOWN_TO_KEEPERS);
  fleet.close();
});

test('streams go on at any server where a read shows one version', async (t) => {
  const {world, streams, fleet} = createHost(1_000);
  const answers = await Promise.all(
    Array.from({length: 20}, (_unused, index) =>
      streams.versionOf(SERVICE, `r${index}`),
    ),
  );
  for (const answer of answers) {
    t.like(answer, SOLE_VERSION);
  }
  t.is(world.reads, 2, 'requests share one read of each kind');
  fleet.close();
});

test('streams go on while the store is away for hours', async (t) => {
  const {world, streams, pass, fleet} = createHost(1_000);
  world.failingMs = 1;
  for (let second = 0; second < 10; second += 1) {
    pass(1_000);
    world.failingMs += 1_000;
    streams.review();
  }
  t.like(await streams.versionOf(SERVICE, 'r1'), SOLE_VERSION);
  fleet.close();
});

// A host that stood still has live peers for some moments after.
test('a host that stood still while the store is away vouches for nothing', async (t) => {
  const {world, streams, pass, fleet} = createHost(1_000);
  streams.review();
  pass(6_000);
  world.failingMs = 6_000;
  t.like(await streams.versionOf(SERVICE, 'r1'), KNOWN_TO_KEEPERS);
  fleet.close();
});
