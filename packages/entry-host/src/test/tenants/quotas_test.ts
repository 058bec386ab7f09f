import test from 'ava';
import * as fc from 'fast-check';

import {QuotaFleet, quotaOf} from './quota-fleet.js';

/** Drawn fleets; more are played by hand with these variables. */
const RUNS = Number(process.env.QUOTA_RUNS ?? 25);
const SEED = Number(process.env.QUOTA_SEED ?? 26);

/** Returns 0 to 1, by a seed. */
const drawn = (seed: number) => {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};

for (const count of [9, 72, 195]) {
  test(`${count} hosts use a quota that one host takes most of`, async (t) => {
    for (const perSecond of [29_000, 320_000]) {
      const quotas = new Map([['hot', quotaOf(perSecond)]]);
      const fleet = new QuotaFleet(count, quotas, drawn(count));
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
    const fleet = new QuotaFleet(count, quotas, drawn(1));
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

const faultArbitrary = fc.record({
  atMs: fc.integer({min: 0, max: 12_000}),
  type: fc.constantFrom('kill', 'freeze', 'cut', 'meter', 'half', 'quota'),
  host: fc.nat({max: 299}),
  forMs: fc.integer({min: 100, max: 6_000}),
});
type DrawnFault = (typeof faultArbitrary extends fc.Arbitrary<infer T>
  ? T
  : never) & {readonly tenant: string};

const fleetArbitrary = fc.record({
  count: fc.constantFrom(1, 2, 5, 9, 30, 72),
  tenants: fc.integer({min: 1, max: 12}),
  perSecond: fc.constantFrom(500, 29_000, 320_000),
  pressure: fc.constantFrom(0.5, 1, 4),
  lost: fc.constantFrom(0, 0.02, 0.3),
  slowMs: fc.constantFrom(2, 20, 150),
  seed: fc.nat(),
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
        const fleet = await play(shape, faults);
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

const play = async (
  shape: typeof fleetArbitrary extends fc.Arbitrary<infer T> ? T : never,
  faults: readonly Omit<DrawnFault, 'tenant'>[],
): Promise<QuotaFleet> => {
  const {count, tenants, perSecond, pressure, lost, slowMs, seed} = shape;
  const names = Array.from({length: tenants}, (_unused, index) => `t${index}`);
  const quotas = new Map(
    names.map((name, index) => [name, quotaOf(perSecond / (index + 1))]),
  );
  const fleet = new QuotaFleet(count, quotas, drawn(seed));
  fleet.ranShare = 0.8;
  fleet.network = {lost, doubled: lost / 2, slowMs};
  await fleet.advance(3_000);
  for (const [index, tenant] of names.entries()) {
    const demand = (pressure * perSecond) / (index + 1);
    for (const [place, host] of [...fleet.hosts.values()].entries()) {
      const share =
        place === index % count ? 0.5 : 0.5 / Math.max(1, count - 1);
      fleet.send(tenant, host, demand * share);
    }
  }
  for (const fault of faults) {
    const tenant = names[fault.host % tenants] ?? 't0';
    fleet.time.after(fault.atMs, () => {
      FAULTS[fault.type](fleet, {...fault, tenant});
    });
  }
  await fleet.advance(22_000);
  return fleet;
};

const FAULTS: Readonly<
  Record<DrawnFault['type'], (fleet: QuotaFleet, fault: DrawnFault) => void>
> = {
  kill: (fleet, {host: index, forMs}) => {
    const host = fleet.host(index);
    host.kill();
    fleet.time.after(forMs, () => {
      host.restart();
    });
  },
  freeze: (fleet, {host: index, forMs}) => {
    const host = fleet.host(index);
    host.freeze();
    fleet.time.after(forMs, () => {
      host.thaw();
    });
  },
  cut: (fleet, {host: index, forMs}) => {
    const host = fleet.host(index);
    host.cut(true);
    fleet.time.after(forMs, () => {
      host.cut(false);
    });
  },
  meter: (fleet, fault) => {
    const type = fault.forMs % 2 === 0 ? 'kill' : 'freeze';
    FAULTS[type](fleet, {...fault, host: fleet.meterOf(fault.tenant)});
  },
  half: (fleet, fault) => {
    for (let index = fault.host % 2; index < fleet.hosts.size; index += 2) {
      FAULTS.kill(fleet, {...fault, host: index});
    }
  },
  quota: (fleet, {tenant, forMs}) => {
    fleet.change(tenant, forMs * 50);
  },
};
