import test from 'ava';

import {partitionReaderGroups, rankReaders} from '../../index.js';
import {status} from './hosts.js';

/** Hosts spread over zones, the first three of each on large machines. */
const hostsAcross = (count: number, zones: number) =>
  Array.from({length: count}, (_unused, index) =>
    status(`h${index}`, {
      zone: `z${index % zones}`,
      capacity: index < 3 * zones ? 1_350 : 140,
    }),
  );

test('a small fleet shares two readers, a large one has one per zone', (t) => {
  const [single, ...none] = partitionReaderGroups(hostsAcross(9, 3));
  t.deepEqual(none, []);
  t.is(single?.maximumReaders, 2);
  for (const [count, zones] of [
    [90, 3],
    [195, 5],
    [300, 5],
  ] as const) {
    const groups = partitionReaderGroups(hostsAcross(count, zones));
    t.is(groups.length, zones);
    t.is(
      groups.reduce((sum, {hosts}) => sum + hosts.length, 0),
      count,
    );
  }
});

test('the size of a group is bounded', (t) => {
  for (const [count, zones] of [
    [522, 5],
    [520, 19],
    [522, 1],
  ] as const) {
    const groups = partitionReaderGroups(hostsAcross(count, zones));
    for (const {hosts, name} of groups) {
      t.true(hosts.length <= 90, `${name}: ${hosts.length} of ${count}`);
    }
  }
});

test('large machines read before small ones', (t) => {
  for (const group of partitionReaderGroups(hostsAcross(195, 5))) {
    const ranked = rankReaders(group).map(({capacity}) => capacity);
    t.deepEqual(ranked.slice(0, 4), [1_350, 1_350, 1_350, 140]);
  }
});

test('a host that cannot read the store is not a reader', (t) => {
  const hosts = hostsAcross(195, 5).map((each) => ({
    ...each,
    readsStore: each.capacity < 1_000,
  }));
  for (const group of partitionReaderGroups(hosts)) {
    t.true(rankReaders(group).every(({capacity}) => capacity === 140));
  }
});
