import {
  Quarantine,
  quarantineRecordName,
  storeRevision,
} from '@basilworks/dispatch';
import test from 'ava';
import {okAsync} from 'neverthrow';

import type {EntryHostContext} from '../../context.js';
import {QuarantineRecords} from '../../crashes/quarantine-records.js';
import {FleetSimulation} from '../views/fleet-simulation.js';

const KEY = 'request/1';

const record = {type: 'quarantine', key: KEY, crashes: 3} as const;

/** Records of a host that writes them or, if not, only reads them. */
const createRecords = (writes: boolean) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const written: string[] = [];
  const store = {
    write: (name: string) => {
      written.push(name);
      return okAsync({type: 'conflict', item: undefined});
    },
  };
  const context = {
    ...hostContext,
    platform: {store},
  } as unknown as EntryHostContext;
  const {views, clock} = context;
  const quarantine = new Quarantine();
  const released: string[] = [];
  const records = new QuarantineRecords(
    context,
    quarantine,
    () => writes,
    () => undefined,
    (keys) => released.push(...keys),
  );
  records.start();
  const apply = (era: number, counter: number, present: boolean) => {
    const revision = storeRevision(era, counter) ?? 0;
    const item = {name: quarantineRecordName(KEY), revision, value: record};
    const items = present ? [item] : [];
    const at = clock.now();
    views.update({kind: 'records', revision, items}, at, at);
    records.applyRecords();
    return quarantine.has(KEY, at);
  };
  return {fleet, apply, written, released};
};

// Guards against keys that leave quarantine unasked: a store that was restored
// has no record of them, which looked like an operator's deletion.
for (const writes of [true, false]) {
  test(`a key stays in quarantine over a restoration, ${writes ? 'writing' : 'reading'}`, async (t) => {
    const {fleet, apply, written, released} = createRecords(writes);
    t.true(apply(0, 9, true));
    t.true(apply(1, 5, false));
    t.true(apply(1, 6, false), 'not written again yet');
    await fleet.time.advance(fleet.time.nowMs + 600);
    t.is(written.length, writes ? 1 : 0);
    t.true(apply(1, 7, true));
    t.deepEqual(released, []);
    t.false(apply(1, 8, false), 'an operator deleted the record');
    t.deepEqual(released, [KEY]);
    fleet.close();
  });
}
