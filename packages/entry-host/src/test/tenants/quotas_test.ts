import test from 'ava';
import * as fc from 'fast-check';

import {
  faultArbitrary,
  fleetArbitrary,
  seededRandom,
  simulate,
} from './random-fleets.js';
import {quotaOf, QuotaSimulation} from './quota-simulation.js';

/** Drawn fleets; more are played by hand with these variables. */
const RUNS = Number(process.env.QUOTA_RUNS ?? 15);
const SEED = Number(process.env.QUOTA_SEED ?? 26);

for (const count of [9, 72, 195]) {
  test(`${count} hosts use a quota that one host takes most of`, async (t) => {
    for (const perSecond of [29_000, 320_000]) {
      const quotas = new Map([['hot', quotaOf(perSecond)]]);
      const fleet = new QuotaSimulation(count, quotas, seededRandom(count));
      await fleet.advance(4_000);
      const demand = 1.5 * perSecond;
      for (const host of fleet.hosts.values()) {
        const share = host.name === 'h0' ? 0.6 : 0.4 / (count - 1);
        fleet.send('hot', host, demand * share);
      }
      await fleet.advance(20_000);
      t.deepEqual(fleet.broken(), []);
      const used = fleet.rate('hot', 12_000) / perSecond;
      t.log(`${perSecond} a second: ${used.toFixed(3)} used`);
      t.true(used >= 0.9);
    }
  });
}

// One that found nothing at hand waited for an answer from another host.
test('far below a quota none is refused, and few wait', async (t) => {
  for (const count of [1, 9, 72]) {
    const quotas = new Map([['calm', quotaOf(320_000)]]);
    const fleet = new QuotaSimulation(count, quotas, seededRandom(1));
    await fleet.advance(4_000);
    for (const host of fleet.hosts.values()) {
      fleet.send('calm', host, (0.2 * 320_000) / count);
    }
    await fleet.advance(4_000);
    const before = {...fleet.counts};
    await fleet.advance(10_000);
    const {asked, served, waited} = fleet.counts;
    const share = (waited - before.waited) / (asked - before.asked);
    t.log(`${count} hosts: ${share.toFixed(4)} of the requests waited`);
    t.is(asked, served);
    t.true(share < 0.05);
  }
});

// Hosts that disagree who meters a tenant, and meters that come back, gave out
// the same tokens twice.
test('no window has more than a quota allows, whatever fails', async (t) => {
  t.log(`seed ${SEED}, ${RUNS} fleets`);
  await fc.assert(
    fc.asyncProperty(
      fleetArbitrary,
      fc.array(faultArbitrary, {minLength: 1, maxLength: 6}),
      async (shape, faults) => {
        const fleet = await simulate(shape, faults);
        const broken = fleet.broken();
        if (broken.length > 0) {
          throw new Error(broken.slice(0, 5).join('; '));
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});
