import test from 'ava';

import {Fleet} from '../fleet/fleet.js';
import {sampleServers, sampleSheet} from '../fleet/sample-servers.js';

const SEEDS = 3;
const WINDOW_MS = 15;
const END_MS = 20_000;

const startFleet = (seed: number): Fleet => {
  const fleet = new Fleet({
    seed,
    hosts: 3,
    zones: 3,
    servers: sampleServers(3, 3, () => true),
    hostListLagMs: 0,
    maximumClockDrift: 0,
  });
  for (const name of fleet.hostNames) {
    fleet.start(name);
  }
  return fleet;
};

const submitSheet = (
  fleet: Fleet,
  version: string,
  expectedRevision: number | undefined,
): void => {
  fleet.hosts[2]?.handle({
    type: 'sheet-submitted',
    submission: version,
    operator: 'planner',
    text: sampleSheet(4, version),
    dryRun: false,
    allowMassRetirement: false,
    expectedRevision,
  });
};

/** When the first key was accepted in a run without a sheet. */
const firstKeyMs = (seed: number): number => {
  const fleet = startFleet(seed);
  fleet.scheduler.runUntil(END_MS);
  return (
    fleet.history.writes.find(
      ({operation}) => operation.kind === 'configuration',
    )?.atMs ?? 0
  );
};

test('a sheet is applied whenever the first signing key is made', (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const keyMs = firstKeyMs(seed);
    t.true(keyMs > 0);
    for (let offset = -WINDOW_MS; offset <= WINDOW_MS; offset += 1) {
      const fleet = startFleet(seed);
      fleet.scheduler.schedule(keyMs + offset, () => {
        submitSheet(fleet, 'v1', undefined);
      });
      fleet.scheduler.runUntil(END_MS);
      const results = fleet.history.sheets.map(({result}) => result.kind);
      t.deepEqual(results, ['applied'], `seed ${seed}, offset ${offset} ms`);
      const [host] = fleet.hosts;
      t.true((host?.state.configuration.summary?.keys.length ?? 0) > 0);
    }
  }
});

test('a key rotation since the revision seen is no conflict', (t) => {
  const fleet = startFleet(1);
  fleet.scheduler.runUntil(END_MS);
  const [host] = fleet.hosts;
  const seen = host?.state.configuration.summary?.revision ?? 0;
  host?.handle({
    type: 'key-rotation-submitted',
    submission: 'rotation',
    operator: 'security',
  });
  fleet.scheduler.runUntil(2 * END_MS);
  submitSheet(fleet, 'v1', seen);
  fleet.scheduler.runUntil(3 * END_MS);
  submitSheet(fleet, 'v2', seen);
  fleet.scheduler.runUntil(4 * END_MS);
  t.is(seen, 1);
  t.deepEqual(
    fleet.history.sheets.map(({result}) => result.kind),
    ['applied', 'conflict'],
  );
});
