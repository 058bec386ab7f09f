import test from 'ava';
import * as fc from 'fast-check';

import {runSchedule, scheduleArbitrary} from './fault-schedules.js';

/** Drawn schedules; more are played by hand with these variables. */
const RUNS = Number(process.env.VIEW_RUNS ?? 40);
const SEED = Number(process.env.VIEW_SEED ?? 15);

// Requests reached servers that were leaving or gone, in troubles that no single
// test had named.
test('hosts in touch go by the store under drawn faults', async (t) => {
  t.log(`seed ${SEED}, ${RUNS} schedules`);
  await fc.assert(
    fc.asyncProperty(scheduleArbitrary, async (schedule) => {
      const broken = await runSchedule(schedule);
      if (broken.length > 0) {
        throw new Error(broken.join('; '));
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});
