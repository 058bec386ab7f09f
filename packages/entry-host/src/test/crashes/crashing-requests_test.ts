import test from 'ava';

import {seededRandom} from '../tenants/random-fleets.js';
import {CrashSimulation, RARE_KEY} from './crash-simulation.js';

/** Crashes after which servers must be protected, and the time until then. */
const CRASHES_KNOWN = 3;
const CONTACT_MS = 3_000;

/** Repeats that may still reach servers after that time. */
const REPEATS_TOLERATED = 3;

const SEEDS = [1, 2, 3];
const SERVERS = 13;

/** A part that no other request has, so that nothing clears it. */
const OWN_PART = 'part/own';
const REQUEST = 'request/deadly';

// Guards against a request that crashes one server after the other, and against
// blaming the parts of its prompt for that.
for (const perSecond of [0.3, 5, 40]) {
  test(`a request that crashes servers is kept from them, at ${perSecond} a second`, async (t) => {
    for (const seed of SEEDS) {
      const random = seededRandom(seed);
      const simulation = new CrashSimulation(7, SERVERS, random);
      await simulation.start();
      const {time, names} = simulation.fleet;
      const endMs = time.nowMs + 40_000;
      simulation.sendSound(200, endMs);
      await time.advance(time.nowMs + 3_000);
      simulation.sendCrashing(REQUEST, perSecond, endMs, [RARE_KEY, OWN_PART]);
      await time.advance(endMs);
      const crashes = simulation.crashesBy.get(REQUEST) ?? [];
      const knownMs = (crashes[CRASHES_KNOWN - 1] ?? Infinity) + CONTACT_MS;
      const late = simulation.arrivals.filter(({atMs}) => atMs > knownMs);
      t.true(late.length <= REPEATS_TOLERATED, `seed ${seed}: ${late.length}`);
      t.deepEqual([...simulation.refusedSoundKeys], []);
      for (const name of names) {
        const {crashes: monitor} = simulation.fleet.host(name);
        t.is(
          monitor.quarantined(() => [OWN_PART]),
          undefined,
        );
      }
      simulation.fleet.close();
    }
  });
}
