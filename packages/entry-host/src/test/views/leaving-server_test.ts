import test from 'ava';

import type {FleetSimulation} from './fleet-simulation.js';
import {
  startSevenHostFleet,
  LEAVING_BOUND_MS,
  hostsExcept,
  hostsSendingTo,
} from './seven-host-fleet.js';

type InjectFault = (fleet: FleetSimulation, name: string) => void;

/** Faults that make both store readers fail at the same time. */
const READER_FAULTS: Readonly<Record<string, InjectFault>> = {
  'are frozen': (fleet, name) => {
    fleet.host(name).freeze();
  },
  'get no responses from the store': (fleet, name) => {
    fleet.host(name).storeConnection.fault = 'silent';
  },
  'are refused by the store': (fleet, name) => {
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

// Guards against requests to a leaving server: while both store readers had
// failed, no host noticed that its view was older than the bound.
for (const [name, injectFault] of Object.entries(READER_FAULTS)) {
  test(`hosts stop sending to a leaving server in time when the store readers ${name}`, async (t) => {
    // Offsets that cover a whole period of reads and exchanges.
    for (let offsetMs = 0; offsetMs < 1_500; offsetMs += 250) {
      const fleet = await startSevenHostFleet();
      await fleet.time.advance(fleet.time.nowMs + offsetMs);
      const readers = fleet.readers();
      t.is(readers.length, 2);
      for (const reader of readers) {
        injectFault(fleet, reader);
      }
      await fleet.time.advance(fleet.time.nowMs + 10);
      fleet.putServer('s1', {leaving: true});
      await fleet.time.advance(fleet.time.nowMs + LEAVING_BOUND_MS);
      const lateHosts = hostsSendingTo(fleet, 's1').filter((host) =>
        hostsExcept(fleet, readers).includes(host),
      );
      t.deepEqual(
        lateHosts,
        [],
        `readers failed ${offsetMs} ms after the start`,
      );
      fleet.close();
    }
  });
}
