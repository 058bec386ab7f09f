import test from 'ava';
import * as fc from 'fast-check';

import {Fleet} from '../fleet/fleet.js';
import {sampleServers} from '../fleet/sample-servers.js';
import {perform} from '../schedules/actions.js';

const SEED = 20_261;
const RUNS = 25;
const ENGINES = 3;
const HOSTS = 3;
const ADAPTERS = 6;
const REQUESTS = 40;
const FAULT_PERIOD_MS = 15_000;

/** Time after the last request by which every request has to have ended. */
const SETTLING_PERIOD_MS = 40_000;

const worldArbitrary = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  lossShare: fc.double({min: 0, max: 0.3, noNaN: true}),
  repeatShare: fc.double({min: 0, max: 0.5, noNaN: true}),
  maximumDelayMs: fc.integer({min: 5, max: 400}),
  restarts: fc.array(
    fc.record({
      atMs: fc.integer({min: 6_000, max: FAULT_PERIOD_MS}),
      server: fc.nat({max: ENGINES - 1}),
    }),
    {maxLength: 3},
  ),
});

type World =
  typeof worldArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const runWorld = (world: World): Fleet => {
  const fleet = new Fleet({
    seed: world.seed,
    hosts: HOSTS,
    zones: 1,
    servers: sampleServers(ENGINES, 1, () => true),
    hostListLagMs: 500,
    maximumClockDrift: 0,
  });
  fleet.hostNames.forEach((name) => {
    fleet.start(name);
  });
  fleet.scheduler.schedule(4_000, () => {
    perform(fleet, {
      type: 'sheet',
      host: 0,
      version: 1,
      adapters: ADAPTERS,
      sawNewest: true,
    });
  });
  // Streams and orders end by contract; only control messages are lost here.
  fleet.network.sendOnce = (_from, _to, deliver) => {
    fleet.scheduler.schedule(fleet.network.delayMs(), deliver);
  };
  const {lossShare, repeatShare, maximumDelayMs} = world;
  fleet.scheduler.schedule(5_000, () => {
    fleet.network.setFaults({lossShare, repeatShare, maximumDelayMs});
  });
  fleet.scheduler.schedule(FAULT_PERIOD_MS, () => {
    fleet.network.heal();
  });
  for (const {atMs, server} of world.restarts) {
    fleet.scheduler.schedule(atMs, () => {
      perform(fleet, {type: 'engine-restart', server});
    });
  }
  for (let index = 0; index < REQUESTS; index += 1) {
    fleet.scheduler.schedule(5_500 + index * 200, () => {
      const host = index % HOSTS;
      const adapter = Math.floor(fleet.random() * ADAPTERS);
      perform(fleet, {type: 'requests', host, adapter, count: 1});
    });
  }
  fleet.scheduler.runUntil(FAULT_PERIOD_MS + SETTLING_PERIOD_MS);
  return fleet;
};

const countBy = (names: readonly string[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const name of names) {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
};

test('every request ends exactly once and runs at most once', (t) => {
  t.log(`seed ${SEED}`);
  fc.assert(
    fc.property(worldArbitrary, (world) => {
      const fleet = runWorld({...world, restarts: []});
      const ends = countBy(
        fleet.history.requests.map(({request}) => request.requestId),
      );
      const runs = countBy(
        [...fleet.servers.values()]
          .flatMap(({engine}) => engine?.history ?? [])
          .map(({requestId}) => requestId),
      );
      const submitted = [...fleet.requests.keys()];
      const endsAreRight = submitted.every((id) => ends.get(id) === 1);
      const runsAreRight = [...runs.values()].every((count) => count === 1);
      const forgotten = fleet.hosts.every(
        ({state}) => state.routing.requests.size === 0,
      );
      return submitted.length > 0 && endsAreRight && runsAreRight && forgotten;
    }),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});

test('no adapter in use is unloaded and no host keeps a dead slot', (t) => {
  t.log(`seed ${SEED + 1}`);
  fc.assert(
    fc.property(worldArbitrary, (world) => {
      const fleet = runWorld(world);
      const evictions = [...fleet.servers.values()].map(
        ({engine}) => engine?.evictedInUse ?? 0,
      );
      const counts = fleet.hosts.flatMap(({state}) =>
        [...state.residency.servers.values()].flatMap(({running, slots}) => [
          running,
          ...[...slots.values()].flatMap((slot) => [slot.running, slot.queued]),
        ]),
      );
      return (
        evictions.every((count) => count === 0) &&
        counts.every((count) => count === 0)
      );
    }),
    {seed: SEED + 1, numRuns: RUNS},
  );
  t.pass();
});
