import * as fc from 'fast-check';
import test from 'ava';

import {
  chooseByRendezvous,
  rankByRendezvous,
} from '../../membership/rendezvous.js';

const SEED = 20_261_203;
const KEYS = Array.from({length: 4_000}, (_, index) => `adapter-${index}`);

const createCandidates = (count: number) =>
  Array.from({length: count}, (_, index) => ({
    name: `host-${index}`,
    weight: 1,
  }));

test(`adding or removing a host moves only its own keys, seed ${SEED}`, (t) => {
  fc.assert(
    fc.property(
      fc.integer({min: 2, max: 12}),
      fc.nat(),
      fc.string({minLength: 1}),
      (count, index, key) => {
        const before = createCandidates(count);
        const removed = before[index % count]?.name;
        const after = before.filter(({name}) => name !== removed);
        const home = chooseByRendezvous(key, before);
        return home === removed || home === chooseByRendezvous(key, after);
      },
    ),
    {seed: SEED, numRuns: 300},
  );
  t.pass();
});

test('candidates get keys in proportion to their weights', (t) => {
  const candidates = [
    {name: 'host-0', weight: 1},
    {name: 'host-1', weight: 1},
    {name: 'host-2', weight: 2},
  ];
  const counts = new Map<string, number>();
  for (const key of KEYS) {
    const home = chooseByRendezvous(key, candidates) ?? '';
    counts.set(home, (counts.get(home) ?? 0) + 1);
  }
  for (const {name, weight} of candidates) {
    const share = (counts.get(name) ?? 0) / KEYS.length;
    t.true(Math.abs(share - weight / 4) < 0.03, `${name} has ${share}`);
  }
});

test('a ranking does not depend on the order of the names', (t) => {
  const names = ['a', 'b', 'c', 'd'];
  t.deepEqual(
    rankByRendezvous('key', names),
    rankByRendezvous('key', [...names].reverse()),
  );
  t.is(chooseByRendezvous('key', []), undefined);
});
