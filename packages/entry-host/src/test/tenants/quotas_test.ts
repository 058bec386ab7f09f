import test from 'ava';
import * as fc from 'fast-check';

import {
  faultArbitrary,
  fleetArbitrary,
  seededRandom,
  simulate,
} from './random-fleets.js';
import {quotaOf, QuotaSimulation} from './quota-simulation.js';

/** Number and seed of random fleets; variables allow longer runs. */
const RUNS = Number(process.env.QUOTA_RUNS ?? 15);
const SEED = Number(process.env.QUOTA_SEED ?? 26);

for (const count of [9, 72, 195]) {
  test(`${count} hosts use a quota with most demand at one host`, async (t) => {
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
      t.deepEqual(fleet.violations(), []);
      const used = fleet.rate('hot', 12_000) / perSecond;
      t.log(`${perSecond} a second: ${used.toFixed(3)} used`);
      t.true(used >= 0.9);
    }
  });
}

// A request that the allowance of its host does not cover waits for an answer
// from another host.
test('far below a quota no request is refused and few wait', async (t) => {
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
    const {received, served, waited} = fleet.counts;
    const share = (waited - before.waited) / (received - before.received);
    t.log(`${count} hosts: ${share.toFixed(4)} of the requests waited`);
    t.is(received, served);
    t.true(share < 0.05);
  }
});

// Guards against tokens granted twice: by hosts that disagree on the meter host
// of a tenant, and by meter hosts that come back after a failure.
test('no window exceeds a quota under random faults', async (t) => {
  t.log(`seed ${SEED}, ${RUNS} fleets`);
  await fc.assert(
    fc.asyncProperty(
      fleetArbitrary,
      fc.array(faultArbitrary, {minLength: 1, maxLength: 6}),
      async (scenario, faults) => {
        const fleet = await simulate(scenario, faults);
        const violations = fleet.violations();
        if (violations.length > 0) {
          throw new Error(violations.slice(0, 5).join('; '));
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});
