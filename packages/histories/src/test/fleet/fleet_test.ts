import {
  configurationRevision,
  mayAct,
  ownedServers,
  ownerOf,
  resolveModel,
} from '@basilworks/core';
import test from 'ava';

import {Fleet} from '../../fleet/fleet.js';
import {sampleServers, sampleSheet} from '../../fleet/sample-servers.js';

const startFleet = (hosts: number, zones: number): Fleet => {
  const fleet = new Fleet({
    seed: 1,
    hosts,
    zones,
    servers: sampleServers(9, zones, (index) => index % 2 === 0),
    hostListLagMs: 500,
    maximumClockDrift: 0.001,
  });
  for (const name of fleet.hostNames) {
    fleet.start(name);
  }
  return fleet;
};

test('servers get one owner each, evenly over the hosts', (t) => {
  const fleet = startFleet(3, 1);
  fleet.scheduler.runUntil(8_000);
  const owned = fleet.hosts.map(({state}) => ownedServers(state).length);
  t.deepEqual(owned.sort(), [3, 3, 3]);
  for (const host of fleet.hosts) {
    for (const server of ownedServers(host.state)) {
      t.true(mayAct(host.state, server, host.now()));
      for (const other of fleet.hosts) {
        t.is(ownerOf(other.state, server), host.name);
      }
    }
  }
});

test('an applied sheet is in force on every host', (t) => {
  const fleet = startFleet(4, 2);
  fleet.scheduler.runUntil(5_000);
  fleet.host('host-1')?.handle({
    type: 'sheet-submitted',
    submission: 's1',
    operator: 'ann',
    text: sampleSheet(100, 'v1'),
    dryRun: false,
    allowMassRetirement: false,
    expectedRevision: undefined,
  });
  fleet.scheduler.runUntil(10_000);
  t.deepEqual(
    fleet.history.sheets.map(({result}) => result.kind),
    ['applied'],
  );
  for (const {state} of fleet.hosts) {
    t.true(configurationRevision(state) >= 1);
    t.is(resolveModel(state, 'a-7').kind, 'resolved');
    t.is(resolveModel(state, 'a-7@v9').kind, 'unresolved');
  }
});
