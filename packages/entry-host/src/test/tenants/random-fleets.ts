import * as fc from 'fast-check';

import {quotaOf, QuotaSimulation, TOLERANCE} from './quota-simulation.js';

/** Returns a generator of random numbers from 0 to below 1 (Mulberry32). */
export const seededRandom = (seed: number) => {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};

export const faultArbitrary = fc.record({
  atMs: fc.integer({min: 0, max: 12_000}),
  type: fc.constantFrom(
    'kill',
    'freeze',
    'cut',
    'meter',
    'half',
    'split',
    'quota',
  ),
  host: fc.nat({max: 299}),
  forMs: fc.integer({min: 100, max: 6_000}),
});
type RandomFault = (typeof faultArbitrary extends fc.Arbitrary<infer T>
  ? T
  : never) & {readonly tenant: string};

export const fleetArbitrary = fc.record({
  count: fc.constantFrom(1, 2, 5, 9, 30, 72, 195),
  tenants: fc.integer({min: 1, max: 12}),
  perSecond: fc.constantFrom(500, 29_000, 320_000),
  pressure: fc.constantFrom(0.5, 1, 4),
  lost: fc.constantFrom(0, 0.02, 0.3),
  slowMs: fc.constantFrom(2, 20, 150),
  extra: fc.constantFrom(0, 110_000),
  seed: fc.nat(),
});

export const simulate = async (
  scenario: typeof fleetArbitrary extends fc.Arbitrary<infer T> ? T : never,
  faults: readonly Omit<RandomFault, 'tenant'>[],
): Promise<QuotaSimulation> => {
  const {count, tenants, perSecond, pressure, lost, slowMs, extra, seed} =
    scenario;
  const names = Array.from({length: tenants}, (_unused, index) => `t${index}`);
  const quotas = new Map(
    names.map((name, index) => [name, quotaOf(perSecond / (index + 1))]),
  );
  const fleet = new QuotaSimulation(count, quotas, seededRandom(seed), {
    ...TOLERANCE,
    extra,
  });
  fleet.executedShare = 0.8;
  fleet.network = {
    lostShare: lost,
    duplicatedShare: lost / 2,
    maxDelayMs: slowMs,
  };
  await fleet.advance(3_000);
  for (const [index, tenant] of names.entries()) {
    const demand = (pressure * perSecond) / (index + 1);
    for (const [hostIndex, host] of [...fleet.hosts.values()].entries()) {
      const share =
        hostIndex === index % count ? 0.5 : 0.5 / Math.max(1, count - 1);
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
  Record<
    RandomFault['type'],
    (fleet: QuotaSimulation, fault: RandomFault) => void
  >
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
    host.setIsolated(true);
    fleet.time.after(forMs, () => {
      host.setIsolated(false);
    });
  },
  meter: (fleet, fault) => {
    const type = fault.forMs % 2 === 0 ? 'kill' : 'freeze';
    FAULTS[type](fleet, {...fault, host: fleet.primaryMeterOf(fault.tenant)});
  },
  half: (fleet, fault) => {
    for (let index = fault.host % 2; index < fleet.hosts.size; index += 2) {
      FAULTS.kill(fleet, {...fault, host: index});
    }
  },
  split: (fleet, {host: seed, forMs}) => {
    const every = 2 + (seed % 3);
    const sideOf = (index: number) => (index % every === 0 ? 1 : 0);
    fleet.setPartitioned(true, sideOf);
    fleet.time.after(2 * forMs, () => {
      fleet.setPartitioned(false, sideOf);
    });
  },
  quota: (fleet, {tenant, forMs}) => {
    fleet.changeQuota(tenant, forMs * 50);
  },
};
