import {STORE_KINDS} from '@basilworks/dispatch';
import test from 'ava';

import {FleetSimulation} from './fleet-simulation.js';
import {
  HEARTBEAT_PERIOD_MS,
  hostsSendingTo,
  SERVER_IDS,
} from './seven-host-fleet.js';

/** Sizes of the fleet, and the time that each answer of the store takes, ms. */
const LAYOUTS = [
  {hosts: 7, answerMs: 900},
  {hosts: 7, answerMs: 1_300},
  {hosts: 90, answerMs: 900},
] as const;

/** Time within which hosts have to know a change, milliseconds. */
const BOUND_MS = 3_000;

const startFleet = async (hosts: number) => {
  const newsBounds = {
    leavingServerMs: BOUND_MS,
    configurationMs: BOUND_MS,
    adapterVersionMs: 5_000,
  };
  const fleet = new FleetSimulation(hosts, {
    zones: 3,
    largeHostsPerZone: 0,
    newsBounds,
  });
  for (const id of SERVER_IDS) {
    fleet.putServer(id);
  }
  fleet.startHeartbeats(() => SERVER_IDS, HEARTBEAT_PERIOD_MS);
  await fleet.start();
  return fleet;
};

// Guards against views that age for ever while the store answers late: a read
// was given up after 800 ms, at each attempt, and its answer thrown away.
for (const {hosts, answerMs} of LAYOUTS) {
  test(`${hosts} hosts know changes of a store that answers after ${answerMs} ms`, async (t) => {
    const fleet = await startFleet(hosts);
    fleet.store.latencyMs = answerMs / 2;
    await fleet.time.advance(fleet.time.nowMs + 5_000);
    fleet.putServer('s0', {leaving: true});
    const readsBefore = fleet.store.reads;
    await fleet.time.advance(fleet.time.nowMs + BOUND_MS + answerMs);
    t.deepEqual(hostsSendingTo(fleet, 's0'), []);
    const seconds = (BOUND_MS + answerMs) / 1_000;
    t.log((fleet.store.reads - readsBefore) / seconds, 'reads a second');
    fleet.close();
  });
}

// Guards against hosts that never serve: their first lists were given up.
test('hosts that start beside a store that answers late read it', async (t) => {
  const fleet = new FleetSimulation(7);
  fleet.store.latencyMs = 500;
  fleet.putServer('s0');
  await fleet.start();
  t.is(hostsSendingTo(fleet, 's0').length, 7);
  fleet.close();
});

// Guards against requests that are held while the store is away: a host that is
// no reader probes one kind only, and took the others for readable.
test('all kinds count as unavailable while the store is away', async (t) => {
  const fleet = await startFleet(7);
  for (const fault of ['silent', 'refuse'] as const) {
    fleet.store.fault = fault;
    await fleet.time.advance(fleet.time.nowMs + 20_000);
    for (let check = 0; check < 20; check += 1) {
      await fleet.time.advance(fleet.time.nowMs + 150);
      const readable = [...fleet.hosts.values()].flatMap((host) =>
        STORE_KINDS.filter((kind) => host.storeReader.failingMs(kind) < 5_000),
      );
      t.deepEqual(readable, [], fault);
    }
    fleet.store.fault = 'none';
    await fleet.time.advance(fleet.time.nowMs + 10_000);
    for (const {storeReader} of fleet.hosts.values()) {
      t.true(STORE_KINDS.every((kind) => storeReader.failingMs(kind) === 0));
    }
  }
  fleet.close();
});
