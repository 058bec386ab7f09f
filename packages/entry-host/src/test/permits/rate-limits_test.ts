import test from 'ava';
import * as fc from 'fast-check';

import {RateLimitSimulation} from './rate-limit-simulation.js';

/** Number and seed of random fleets and faults; variables allow longer runs. */
const RUNS = Number(process.env.LIMIT_RUNS ?? 30);
const SEED = Number(process.env.LIMIT_SEED ?? 22);

/** Share of a limit that must be used if demand suffices and no host fails. */
const USED_SHARE = 0.8;

const SIZES = [1, 2, 9, 30];

const scenarioArbitrary = fc.record({
  hosts: fc.constantFrom(...SIZES),
  engine: fc.boolean(),
});

const limitArbitrary = fc.double({min: 0.5, max: 200, noNaN: true});

// Guards against a limit that each host enforces by itself: seven hosts, each
// below the limit, exceeded it together.
test('any number of hosts use a limit without exceeding it', async (t) => {
  t.log(`seed ${SEED}, ${RUNS} fleets`);
  await fc.assert(
    fc.asyncProperty(
      scenarioArbitrary,
      limitArbitrary,
      fc.integer({min: 2, max: 6}),
      async (scenario, limit, overload) => {
        const demand = Math.max(10, limit * overload);
        const simulation = new RateLimitSimulation({...scenario, demand});
        await simulation.start();
        simulation.setLimit(limit);
        await simulation.advance(12_000);
        const used = simulation.rateOverLast(8_000);
        simulation.fleet.close();
        const violations = simulation.violations();
        if (violations.length > 0 || used < USED_SHARE * limit) {
          throw new Error(
            `${used} a second of ${limit}; ${violations.join('; ')}`,
          );
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});

// With this many hosts, each receives few answers of its own that announce the
// limit.
for (const hosts of [90, 195]) {
  test(`${hosts} hosts use a limit without exceeding it`, async (t) => {
    const simulation = new RateLimitSimulation({
      hosts,
      engine: false,
      demand: 60,
    });
    await simulation.start();
    simulation.setLimit(4);
    await simulation.advance(8_000);
    t.deepEqual(simulation.violations(), []);
    t.true(simulation.rateOverLast(4_000) >= USED_SHARE * 4);
    simulation.fleet.close();
  });
}

test('all hosts soon apply a limit that changes or ends', async (t) => {
  for (const engine of [false, true]) {
    const simulation = new RateLimitSimulation({hosts: 9, engine, demand: 40});
    await simulation.start();
    for (const limit of [2, 20, 1]) {
      simulation.setLimit(limit);
      await simulation.advance(9_000);
      t.true(simulation.rateOverLast(5_000) >= USED_SHARE * limit);
      t.true(simulation.rateOverLast(5_000) <= 1.5 * limit);
    }
    t.deepEqual(simulation.violations(), []);
    simulation.setLimit(undefined);
    await simulation.advance(4_000);
    t.true(simulation.rateOverLast(1_000) >= USED_SHARE * 40);
    simulation.fleet.close();
  }
});

const faultArbitrary = fc.record({
  atMs: fc.integer({min: 0, max: 12_000}),
  type: fc.constantFrom('freeze', 'restart', 'isolate', 'join'),
  host: fc.nat({max: 8}),
  forMs: fc.integer({min: 100, max: 5_000}),
});

// The limiting host of a server may fail at any time. Its successor doesn't
// know which requests it has permitted.
test('a limit holds while hosts freeze, restart, get cut off and join', async (t) => {
  t.log(`seed ${SEED}, ${RUNS} schedules`);
  await fc.assert(
    fc.asyncProperty(
      limitArbitrary,
      fc.boolean(),
      fc.array(faultArbitrary, {minLength: 1, maxLength: 5}),
      async (limit, engine, faults) => {
        const demand = Math.max(30, 3 * limit);
        const simulation = new RateLimitSimulation({hosts: 9, engine, demand});
        const {fleet} = simulation;
        await simulation.start();
        simulation.setLimit(limit);
        const beganMs = fleet.time.nowMs;
        for (const {atMs, type, host, forMs} of faults) {
          const name = `h${host}`;
          fleet.time.after(atMs, () => {
            simulation.faultyHosts.add(name);
            FAULTS[type]?.(simulation, name, forMs);
          });
        }
        await fleet.time.advance(beganMs + 20_000);
        fleet.close();
        const violations = simulation.violations();
        if (violations.length > 0) {
          throw new Error(violations.join('; '));
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});

type Fault = (
  simulation: RateLimitSimulation,
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
    host.partitioned = true;
    fleet.time.after(forMs, () => {
      host.partitioned = false;
    });
  },
  join: ({fleet}) => {
    fleet.startHost(`h${20 + fleet.hosts.size}`);
  },
};
