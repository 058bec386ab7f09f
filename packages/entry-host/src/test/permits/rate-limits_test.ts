import test from 'ava';
import * as fc from 'fast-check';

import {RateLimitSimulation} from './rate-limit-simulation.js';

/** Drawn fleets and faults; more are played by hand with these variables. */
const RUNS = Number(process.env.LIMIT_RUNS ?? 30);
const SEED = Number(process.env.LIMIT_SEED ?? 22);

/** Share of a limit that has to be used where there is demand, and no trouble. */
const USED_SHARE = 0.8;

const SIZES = [1, 2, 9, 30];

const shapeArbitrary = fc.record({
  hosts: fc.constantFrom(...SIZES),
  engine: fc.boolean(),
});

const limitArbitrary = fc.double({min: 0.5, max: 200, noNaN: true});

// Seven hosts, each below a limit, were above it together.
test('hosts of any number use a limit and keep it', async (t) => {
  t.log(`seed ${SEED}, ${RUNS} fleets`);
  await fc.assert(
    fc.asyncProperty(
      shapeArbitrary,
      limitArbitrary,
      fc.integer({min: 2, max: 6}),
      async (shape, limit, pressure) => {
        const demand = Math.max(10, limit * pressure);
        const limited = new RateLimitSimulation({...shape, demand});
        await limited.start();
        limited.name(limit);
        await limited.advance(12_000);
        const used = limited.rateOverLast(8_000);
        limited.fleet.close();
        const broken = limited.broken();
        if (broken.length > 0 || used < USED_SHARE * limit) {
          throw new Error(`${used} a second of ${limit}; ${broken.join('; ')}`);
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});

// One of a hundred hosts is told of a limit by few answers of its own.
for (const hosts of [90, 195]) {
  test(`${hosts} hosts use a limit and keep it`, async (t) => {
    const limited = new RateLimitSimulation({hosts, engine: false, demand: 60});
    await limited.start();
    limited.name(4);
    await limited.advance(8_000);
    t.deepEqual(limited.broken(), []);
    t.true(limited.rateOverLast(4_000) >= USED_SHARE * 4);
    limited.fleet.close();
  });
}

test('a limit that changes or ends is known to all soon', async (t) => {
  for (const engine of [false, true]) {
    const limited = new RateLimitSimulation({hosts: 9, engine, demand: 40});
    await limited.start();
    for (const limit of [2, 20, 1]) {
      limited.name(limit);
      await limited.advance(9_000);
      t.true(limited.rateOverLast(5_000) >= USED_SHARE * limit);
      t.true(limited.rateOverLast(5_000) <= 1.5 * limit);
    }
    t.deepEqual(limited.broken(), []);
    limited.name(undefined);
    await limited.advance(4_000);
    t.true(limited.rateOverLast(1_000) >= USED_SHARE * 40);
    limited.fleet.close();
  }
});

const faultArbitrary = fc.record({
  atMs: fc.integer({min: 0, max: 12_000}),
  type: fc.constantFrom('freeze', 'restart', 'isolate', 'join'),
  host: fc.nat({max: 8}),
  forMs: fc.integer({min: 100, max: 5_000}),
});

// The host that meters a server may be lost at any moment, and another follows it
// without knowing what it let go.
test('a limit is kept while hosts freeze, restart, are cut and join', async (t) => {
  t.log(`seed ${SEED}, ${RUNS} schedules`);
  await fc.assert(
    fc.asyncProperty(
      limitArbitrary,
      fc.boolean(),
      fc.array(faultArbitrary, {minLength: 1, maxLength: 5}),
      async (limit, engine, faults) => {
        const demand = Math.max(30, 3 * limit);
        const limited = new RateLimitSimulation({hosts: 9, engine, demand});
        const {fleet} = limited;
        await limited.start();
        limited.name(limit);
        const beganMs = fleet.time.nowMs;
        for (const {atMs, type, host, forMs} of faults) {
          const name = `h${host}`;
          fleet.time.after(atMs, () => {
            limited.troubled.add(name);
            FAULTS[type]?.(limited, name, forMs);
          });
        }
        await fleet.time.advance(beganMs + 20_000);
        fleet.close();
        const broken = limited.broken();
        if (broken.length > 0) {
          throw new Error(broken.join('; '));
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});

type Fault = (
  limited: RateLimitSimulation,
  name: string,
  forMs: number,
) => void;

const FAULTS: Readonly<Record<string, Fault>> = {
  freeze: ({fleet}, name, forMs) => {
    const host = fleet.host(name);
    host.freeze();
    fleet.time.after(forMs, () => {
      host.thaw();
    });
  },
  restart: ({fleet}, name, forMs) => {
    fleet.host(name).close();
    fleet.time.after(forMs, () => {
      if (fleet.host(name).closed) {
        fleet.startHost(name);
      }
    });
  },
  isolate: ({fleet}, name, forMs) => {
    const host = fleet.host(name);
    host.isolated = true;
    fleet.time.after(forMs, () => {
      host.isolated = false;
    });
  },
  join: ({fleet}) => {
    fleet.startHost(`h${20 + fleet.hosts.size}`);
  },
};
