import test from 'ava';

import type {FleetSimulation} from './fleet-simulation.js';
import {deploy} from './seven-host-fleet.js';

/** Reads of the store in some time. */
const readsIn = async (
  fleet: FleetSimulation,
  periodMs: number,
): Promise<number> => {
  const before = fleet.store.reads;
  await fleet.time.advance(fleet.time.nowMs + periodMs);
  return fleet.store.reads - before;
};

// Hosts counted as unable to read the store for good once a read of theirs had
// failed and others read in their place, so that every host read for itself.
test('after an outage of the store as few hosts read it as before', async (t) => {
  const fleet = await deploy();
  const atRest = await readsIn(fleet, 10_000);
  fleet.store.fault = 'refuse';
  await fleet.time.advance(fleet.time.nowMs + 5_000);
  fleet.store.fault = 'none';
  await fleet.time.advance(fleet.time.nowMs + 5_000);
  for (const {context, name} of fleet.hosts.values()) {
    t.true(context.membership.self().readsStore, name);
  }
  const after = await readsIn(fleet, 10_000);
  t.true(after <= atRest * 1.1, `${after} reads after, ${atRest} before`);
  fleet.close();
});
