import {hashFraction} from '@basilworks/core';
import test from 'ava';
import fc from 'fast-check';

import {FairShares, maxMinFairLevel} from '../../index.js';
import {runSimulation} from './fair-share-simulation.js';

const HOT_FROM_MS = 10_000;
const HOT_PERIOD_MS = 4_000;
const SEEDS = [1, 2, 3, 4, 5];

/** Returns a generator of the same numbers for the same seed. */
const seededRandom = (seed: number) => {
  let index = 0;
  return () => hashFraction(`${seed}/${(index += 1)}`);
};

const run = (seed: number, fair: boolean, factor: (ms: number) => number) =>
  runSimulation({
    random: seededRandom(seed),
    fair,
    factor: (ms) => (ms < HOT_FROM_MS ? 1 : factor(ms)),
    fromMs: HOT_FROM_MS,
    untilMs: 40_000,
  });

const total = (amounts: readonly number[]) =>
  amounts.reduce((sum, amount) => sum + amount, 0);

/** Smallest share of its demand that any other tenant was served. */
const leastShare = ({asked, served}: ReturnType<typeof run>) =>
  Math.min(
    ...asked.slice(1).map((amount, index) => (served[index + 1] ?? 0) / amount),
  );

const LOADS = {
  'twice its usual': () => 2,
  'five times its usual': () => 5,
  'twenty times its usual': () => 20,
  'twenty times, on and off': (ms: number) =>
    ms % (2 * HOT_PERIOD_MS) < HOT_PERIOD_MS ? 20 : 1,
};

for (const [name, factor] of Object.entries(LOADS)) {
  for (const seed of SEEDS) {
    test(`a tenant asks ${name}, seed ${seed}`, (t) => {
      const [off, on] = [run(seed, false, factor), run(seed, true, factor)];
      const [offWaitMs, onWaitMs] = [off, on].map(({waitMs}) =>
        Math.max(...waitMs.slice(1).filter((wait) => !Number.isNaN(wait))),
      );
      const offTotal = total(off.served);
      const onTotal = total(on.served);
      t.log(
        `off: least share ${leastShare(off).toFixed(2)}, longest mean wait ${(offWaitMs ?? 0).toFixed(0)} ms, served ${offTotal}`,
      );
      t.log(
        `on: least share ${leastShare(on).toFixed(2)}, longest mean wait ${(onWaitMs ?? 0).toFixed(0)} ms, served ${onTotal}`,
      );
      t.true(leastShare(on) > 0.8);
      t.true((onWaitMs ?? Infinity) < 2_000);
      // Capacity that the others leave goes to the tenant with more demand.
      t.true(onTotal > 0.95 * offTotal);
    });
  }
}

test('no request is refused while the service has room', (t) => {
  const {asked, served} = run(1, true, () => 0.5);
  const without = run(1, false, () => 0.5);
  t.deepEqual(asked, without.asked);
  t.deepEqual(served, without.served);
});

/** Seeds of the property; 3 draws subnormal numbers. */
const PROPERTY_SEEDS = [1, 2, 3];

/** Steps between the smallest numbers: relative errors mean nothing there. */
const SMALLEST_STEPS = 4 * Number.MIN_VALUE;

test('the max-min level uses the capacity and is at least the equal share', (t) => {
  const amounts = fc.array(fc.double({min: 0, max: 1e6, noNaN: true}), {
    minLength: 1,
  });
  const capacities = fc.double({min: 0, max: 1e7, noNaN: true});
  const property = fc.property(amounts, capacities, (asked, capacity) => {
    const level = maxMinFairLevel(asked, capacity);
    const given = total(asked.map((amount) => Math.min(amount, level)));
    t.true(given <= capacity * (1 + 1e-9) + 1e-9);
    const equalShare = capacity / asked.length;
    t.true(level >= equalShare * (1 - 1e-9) - SMALLEST_STEPS);
    if (level === Infinity) {
      t.is(given, total(asked));
    } else {
      t.true(given >= capacity * (1 - 1e-9) - 1e-9);
    }
  });
  for (const seed of PROPERTY_SEEDS) {
    t.log('seed', seed);
    fc.assert(property, {seed, numRuns: 1_000});
  }
});

test('without reports nothing is refused, and small demand never is', (t) => {
  const shares = new FairShares(
    () => 2,
    () => 1,
  );
  const at = {monotonicMs: 0, wallMs: 0};
  for (let index = 0; index < 100; index += 1) {
    t.true(shares.admit('s', 'a', 1_000, at).admitted);
  }
  shares.applyGroup(
    {group: 'g', service: 's', tenant: 'a', offered: 500, served: 10},
    at,
  );
  const heard = {monotonicMs: 200, wallMs: 200};
  t.false(shares.admit('s', 'a', 1, heard).admitted);
  t.true(shares.admit('s', 'b', 1, heard).admitted);
  t.true(shares.admit('s', undefined, 1, heard).admitted);
  const begun = {monotonicMs: 400, wallMs: 400};
  for (const [tenant, offered] of [['a', 900] as const, ['b', 20] as const]) {
    shares.applyGroup(
      {group: 'g', service: 's', tenant, offered, served: 0},
      begun,
    );
  }
  t.false(shares.admit('s', 'a', 1, begun).admitted);
  t.true(shares.admit('s', 'b', 1, begun).admitted);
  const old = {monotonicMs: 5_000, wallMs: 5_000};
  t.true(shares.admit('s', 'a', 1, old).admitted);
});
