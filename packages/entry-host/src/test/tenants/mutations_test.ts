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

/** Fleets that are played at the most until one shows a fault. */
const RUNS = Number(process.env.PLANTED_RUNS ?? 60);

type Parts = Record<string, (...parameters: never[]) => unknown>;

/** Replaces a method of a class for all objects; returns how to undo that. */
const replace = (
  of: {readonly prototype: object},
  name: string,
  by: (...parameters: never[]) => unknown,
) => {
  const parts = of.prototype as Parts;
  const whole = Object.getOwnPropertyDescriptor(parts, name) ?? {};
  Object.defineProperty(parts, name, {
    configurable: true,
    writable: true,
    value: by,
  });
  return () => {
    Object.defineProperty(parts, name, whole);
  };
};

/** Deliberate faults, each of which the drawn fleets must show. */
const PLANTED: Readonly<Record<string, () => () => void>> = {
  'a bucket fills whatever hosts hold': () =>
    replace(QuotaMeter, 'ceiling', () => Infinity),
  'every meter gives out the whole': () =>
    replace(TenantMeters, 'scaleOf', () => 1),
};

for (const [name, plant] of Object.entries(PLANTED)) {
  test.serial(`drawn fleets show that ${name}`, async (t) => {
    const undo = plant();
    const {failed, numRuns} = await fc.check(
      fc.asyncProperty(
        fleetArbitrary,
        fc.array(faultArbitrary, {minLength: 1, maxLength: 6}),
        async (shape, faults) => {
          const fleet = await simulate(shape, faults);
          return fleet.broken().length === 0;
        },
      ),
      {seed: SEED, numRuns: RUNS, endOnFailure: true},
    );
    undo();
    t.log(`seed ${SEED}, fleet ${numRuns}`);
    t.true(failed);
  });
}

const tight = (hosts: number) =>
  new QuotaSimulation(
    hosts,
    new Map([['t', quotaOf(29_000)]]),
    seededRandom(SEED),
    {
      ...TOLERANCE,
      extra: 0,
    },
  );

/** One host on which half of the requests run, at four times the quota. */
const refunds = async () => {
  const fleet = tight(1);
  fleet.ranShare = 0.5;
  await fleet.advance(4_000);
  fleet.send('t', fleet.host(0), 4 * 29_000);
  await fleet.advance(16_000);
  return fleet.broken().length;
};

test.serial('tokens that are given back twice are shown', async (t) => {
  t.is(await refunds(), 0);
  const undo = replace(QuotaAccount, 'settle', givesBackAlways);
  t.true((await refunds()) > 0);
  undo();
});

function givesBackAlways(
  this: {spent: number},
  {tokens}: {tokens: number},
  ran: boolean,
): number {
  this.spent -= ran ? 0 : tokens;
  return ran ? 0 : tokens;
}
