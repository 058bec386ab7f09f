import test from 'ava';

import type {FleetSimulation} from './fleet-simulation.js';
import {startSevenHostFleet} from './seven-host-fleet.js';

/** Counts the reads of the store in a period. */
const countReads = async (
  fleet: FleetSimulation,
  periodMs: number,
): Promise<number> => {
  const before = fleet.store.reads;
  await fleet.time.advance(fleet.time.nowMs + periodMs);
  return fleet.store.reads - before;
};

// Guards against a load that stays high after an outage: a host with a failed
// read counted as unable to read the store for ever once others had read in its
// place, until every host read the store itself.
test('after an outage of the store no more hosts read it than before', async (t) => {
  const fleet = await startSevenHostFleet();
  const readsBefore = await countReads(fleet, 10_000);
  fleet.store.fault = 'refuse';
  await fleet.time.advance(fleet.time.nowMs + 5_000);
  fleet.store.fault = 'none';
  await fleet.time.advance(fleet.time.nowMs + 5_000);
  for (const {context, name} of fleet.hosts.values()) {
    t.true(context.membership.self().readsStore, name);
  }
  const readsAfter = await countReads(fleet, 10_000);
  t.true(
    readsAfter <= readsBefore * 1.1,
    `${readsAfter} reads after, ${readsBefore} before`,
  );
  fleet.close();
});
