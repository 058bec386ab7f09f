import test from 'ava';
import * as fc from 'fast-check';

import {runSchedule, scheduleArbitrary} from './fault-schedules.js';

/** Number of schedules and seed; the variables allow longer runs by hand. */
const RUNS = Number(process.env.VIEW_RUNS ?? 40);
const SEED = Number(process.env.VIEW_SEED ?? 15);

// Guards against requests to servers that are leaving or removed under
// combinations of faults that no other test covers.
test('stable hosts follow the store under generated faults', async (t) => {
  t.log(`seed ${SEED}, ${RUNS} schedules`);
  await fc.assert(
    fc.asyncProperty(scheduleArbitrary, async (schedule) => {
      const violations = await runSchedule(schedule);
      if (violations.length > 0) {
        throw new Error(violations.join('; '));
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});
