import {type StoreKind, type StoredItem} from '@basilworks/dispatch';
import test from 'ava';
import {okAsync} from 'neverthrow';

import type {EntryHostContext} from '../../context.js';
import type {PeerConnection} from '../../peers/index.js';
import type {ViewSource} from '../../store/index.js';
import {StreamVersions} from '../../streams/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

const SERVICE = 'engines';

const recordOf = (versions: readonly string[]): StoredItem => ({
  name: 'software-versions',
  revision: 1,
  value: {type: 'software-versions', service: SERVICE, versions},
});

/** A host whose views are `ageMs` old, beside a store that has `versions`. */
const createHost = (ageMs: number) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const world = {
    at: {monotonicMs: 90_000, wallMs: 90_000},
    /** Software versions of the servers, on record and serving. */
    recorded: ['v1'],
    serving: ['v1'],
    failingMs: 0,
    reads: 0,
  };
  const context = {
    ...hostContext,
    clock: {now: () => world.at},
    platform: {
      store: {
        loadStreams: () => okAsync([]),
        write: () => okAsync({type: 'conflict', item: undefined}),
      },
    },
  } as unknown as EntryHostContext;
  const update = (kind: StoreKind, freshAtMs: number) => {
    const freshAt = {monotonicMs: freshAtMs, wallMs: freshAtMs};
    const revision = 1 + context.views.revision(kind);
    const items = kind === 'records' ? [recordOf(world.recorded)] : [];
    context.views.update({kind, revision, items}, freshAt, world.at);
    if (kind === 'records') {
      streams.applyRecords();
      return;
    }
    const entries = world.serving.map((softwareVersion) => ({
      entry: {
        ...serverEntry(`s-${softwareVersion}`),
        service: SERVICE,
        softwareVersion,
      },
      revision,
    }));
    context.servers.update(entries, undefined, world.at);
    streams.applyServers();
  };
  const sourceOf = (kind: StoreKind): ViewSource => ({
    refresh: () => {
      world.reads += 1;
      if (world.failingMs > 0) {
        return Promise.resolve(false);
      }
      update(kind, world.at.monotonicMs);
      return Promise.resolve(true);
    },
    failingMs: () => world.failingMs,
    responseMs: () => 4,
  });
  // A peer that keeps the origin of each stream.
  const peer = {queryStream: () => Promise.resolve('v2')};
  const streams = new StreamVersions(
    context,
    () => peer as unknown as PeerConnection,
    sourceOf,
  );
  update('servers', world.at.monotonicMs - ageMs);
  update('records', world.at.monotonicMs - ageMs);
  const pass = (ms: number) => {
    const atMs = world.at.monotonicMs + ms;
    world.at = {monotonicMs: atMs, wallMs: atMs};
  };
  return {world, streams, pass, fleet};
};

// Guards against streams that go on at another software version: a host that
// was out of step while servers of a new version joined took its old views for
// proof that there is only one.
for (const ageMs of [500, 2_900, 7_000]) {
  test(`a version that joined is found by a host whose views are ${ageMs} ms old`, async (t) => {
    const {world, streams, fleet} = createHost(ageMs);
    world.recorded = ['v1', 'v2'];
    world.serving = ['v1', 'v2'];
    t.not((await streams.versionOf(SERVICE, 'r1')).type, 'any');
    fleet.close();
  });
}

// Before the first record, streams begin at any version that serves.
test('a version that is not on record yet is found', async (t) => {
  const {world, streams, fleet} = createHost(1_000);
  world.recorded = [];
  world.serving = ['v1', 'v2'];
  t.not((await streams.versionOf(SERVICE, 'r1')).type, 'any');
  fleet.close();
});

test('streams go on at any server where a read shows one version', async (t) => {
  const {world, streams, fleet} = createHost(1_000);
  const answers = await Promise.all(
    Array.from({length: 20}, (_unused, index) =>
      streams.versionOf(SERVICE, `r${index}`),
    ),
  );
  t.true(answers.every(({type}) => type === 'any'));
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
  t.is((await streams.versionOf(SERVICE, 'r1')).type, 'any');
  fleet.close();
});

// A host that stood still has live peers for some moments after.
test('a host that stood still while the store is away vouches for nothing', async (t) => {
  const {world, streams, pass, fleet} = createHost(1_000);
  streams.review();
  pass(6_000);
  world.failingMs = 6_000;
  t.not((await streams.versionOf(SERVICE, 'r1')).type, 'any');
  fleet.close();
});
