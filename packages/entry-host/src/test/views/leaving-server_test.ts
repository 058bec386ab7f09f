import test from 'ava';

import type {FleetSimulation} from './fleet-simulation.js';
import {deploy, LEAVING_BOUND_MS, others, senders} from './seven-host-fleet.js';

type Loss = (fleet: FleetSimulation, name: string) => void;

/** Ways in which the readers of the store are lost at the same moment. */
const LOSSES: Readonly<Record<string, Loss>> = {
  'fall silent': (fleet, name) => {
    fleet.host(name).freeze();
  },
  'lose the store without a word': (fleet, name) => {
    fleet.host(name).storeConnection.fault = 'silent';
  },
  'are turned away by the store': (fleet, name) => {
    fleet.host(name).storeConnection.fault = 'refuse';
  },
  'are killed': (fleet, name) => {
    fleet.host(name).close();
  },
  'are cut off from everything': (fleet, name) => {
    fleet.host(name).storeConnection.fault = 'silent';
    fleet.host(name).partitioned = true;
  },
};

// Requests reached a leaving server because no host noticed that its view was
// older than the bound while both readers of the store were lost.
for (const [name, lose] of Object.entries(LOSSES)) {
  test(`a server's leaving is known in time when its readers ${name}`, async (t) => {
    // Moments across a whole round of reads and exchanges.
    for (let offsetMs = 0; offsetMs < 1_500; offsetMs += 250) {
      const fleet = await deploy();
      await fleet.time.advance(fleet.time.nowMs + offsetMs);
      const readers = fleet.readers();
      t.is(readers.length, 2);
      for (const reader of readers) {
        lose(fleet, reader);
      }
      await fleet.time.advance(fleet.time.nowMs + 10);
      fleet.putServer('s1', {leaving: true});
      await fleet.time.advance(fleet.time.nowMs + LEAVING_BOUND_MS);
      const late = senders(fleet, 's1').filter((host) =>
        others(fleet, readers).includes(host),
      );
      t.deepEqual(late, [], `lost ${offsetMs} ms after the start`);
      fleet.close();
    }
  });
}
