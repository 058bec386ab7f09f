import {QuotaAccount, QuotaMeter} from '@basilworks/dispatch';
import test from 'ava';
import * as fc from 'fast-check';

import {TenantMeters} from '../../index.js';
import {
  faultArbitrary,
  fleetArbitrary,
  seededRandom,
  simulate,
} from './random-fleets.js';
import {quotaOf, QuotaSimulation, TOLERANCE} from './quota-simulation.js';

const SEED = 26;

/** Greatest number of random fleets simulated to detect a mutation. */
const RUNS = Number(process.env.PLANTED_RUNS ?? 60);

type Methods = Record<string, (...parameters: never[]) => unknown>;

/** Replaces a method of a class; returns a function that restores it. */
const replace = (
  target: {readonly prototype: object},
  name: string,
  by: (...parameters: never[]) => unknown,
) => {
  const methods = target.prototype as Methods;
  const original = Object.getOwnPropertyDescriptor(methods, name) ?? {};
  Object.defineProperty(methods, name, {
    configurable: true,
    writable: true,
    value: by,
  });
  return () => {
    Object.defineProperty(methods, name, original);
  };
};

/** Deliberate faults, each of which random fleets must detect. */
const MUTATIONS: Readonly<Record<string, () => () => void>> = {
  'a bucket that fills regardless of unspent allowances': () =>
    replace(QuotaMeter, 'ceiling', () => Infinity),
  'meters that each grant the whole quota': () =>
    replace(TenantMeters, 'scaleOf', () => 1),
};

for (const [name, mutate] of Object.entries(MUTATIONS)) {
  test.serial(`random fleets detect ${name}`, async (t) => {
    const undo = mutate();
    const {failed, numRuns} = await fc.check(
      fc.asyncProperty(
        fleetArbitrary,
        fc.array(faultArbitrary, {minLength: 1, maxLength: 6}),
        async (scenario, faults) => {
          const fleet = await simulate(scenario, faults);
          return fleet.violations().length === 0;
        },
      ),
      {seed: SEED, numRuns: RUNS, endOnFailure: true},
    );
    undo();
    t.log(`seed ${SEED}, fleet ${numRuns}`);
    t.true(failed);
  });
}

const createFleetWithoutExtra = (hosts: number) =>
  new QuotaSimulation(
    hosts,
    new Map([['t', quotaOf(29_000)]]),
    seededRandom(SEED),
    {
      ...TOLERANCE,
      extra: 0,
    },
  );

/**
 * Counts the violations of one host at four times its quota, with half of its
 * requests executed.
 */
const countViolations = async () => {
  const fleet = createFleetWithoutExtra(1);
  fleet.executedShare = 0.5;
  await fleet.advance(4_000);
  fleet.send('t', fleet.host(0), 4 * 29_000);
  await fleet.advance(16_000);
  return fleet.violations().length;
};

test.serial(
  'a simulation detects tokens that are returned twice',
  async (t) => {
    t.is(await countViolations(), 0);
    const undo = replace(QuotaAccount, 'settle', settleAlways);
    t.true((await countViolations()) > 0);
    undo();
  },
);

function settleAlways(
  this: {spent: number},
  {tokens}: {tokens: number},
  ran: boolean,
): number {
  this.spent -= ran ? 0 : tokens;
  return ran ? 0 : tokens;
}
