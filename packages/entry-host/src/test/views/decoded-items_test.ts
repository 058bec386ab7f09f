import type {Snapshot, StoreKind} from '@basilworks/dispatch';
import test from 'ava';

import {FleetSimulation, serverEntry} from './fleet-simulation.js';

/** Records of a fleet of 195 hosts and 70 servers, and its servers. */
const CLAIMS = 265;
const SERVERS = 70;

/** Above all revisions that the simulated store gives out. */
const REVISION = 1_000_000;

/** Counts reads of a field of values, as a validation makes them. */
class ReadCounter {
  count = 0;

  /** Returns a value that counts reads of one of its fields. */
  watch(value: object, field: string): object {
    const copy = {...value};
    const content = (value as Record<string, unknown>)[field];
    Object.defineProperty(copy, field, {
      enumerable: true,
      get: () => {
        this.count += 1;
        return content;
      },
    });
    return copy;
  }
}

const claim = (index: number, holder: string) => ({
  type: 'claim',
  server: `s${index}`,
  host: holder,
  fence: 1,
});

/**
 * A snapshot as a peer or the store sends it: its items are new objects, also
 * those that have not changed.
 */
const snapshotOf = (
  kind: StoreKind,
  revision: number,
  values: readonly object[],
  changed?: number,
): Snapshot => ({
  kind,
  revision,
  items: values.map((value, index) => ({
    name: `item-${index}`,
    revision: index === changed ? revision : REVISION,
    value,
  })),
});

// Guards against a host among hundreds that validates all records of the fleet
// in each round of exchanges: two hundred hosts spend more processor time at
// rest than on requests, and a day of them is given up.
test('records that have not changed are not validated again', async (t) => {
  const fleet = new FleetSimulation(1);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.start();
  const {context} = fleet.host('h0');
  const reads = new ReadCounter();
  const values = Array.from({length: CLAIMS}, (_, index) =>
    reads.watch(claim(index, 'h0'), 'type'),
  );
  const {views, clock} = context;
  const at = clock.now();
  views.update(snapshotOf('records', REVISION, values), at, at);
  await fleet.time.advance(fleet.time.nowMs + 2_000);
  const before = reads.count;
  await fleet.time.advance(fleet.time.nowMs + 10_000);
  t.is(reads.count, before);
});

// Guards against hosts that start together and validate all records again with
// each one that another of them writes.
test('a change of one record or server leaves the others as they were', (t) => {
  const fleet = new FleetSimulation(1);
  t.teardown(() => {
    fleet.close();
  });
  const {context} = fleet.startHost('h0');
  const {views, clock} = context;
  const at = clock.now();
  for (const [kind, valueOf, count] of [
    ['records', (index: number) => claim(index, 'h0'), CLAIMS],
    ['servers', (index: number) => serverEntry(`s${index}`), SERVERS],
  ] as const) {
    const values = () => Array.from({length: count}, (_, it) => valueOf(it));
    views.update(snapshotOf(kind, REVISION, values()), at, at);
    const before = views.get(kind)?.snapshot.items ?? [];
    views.update(snapshotOf(kind, REVISION + 1, values(), 7), at, at);
    const after = views.get(kind)?.snapshot.items ?? [];
    t.is(after.length, count);
    const renewed = after.filter((item, index) => item !== before[index]);
    t.deepEqual(
      renewed.map(({name}) => name),
      ['item-7'],
    );
  }
});
