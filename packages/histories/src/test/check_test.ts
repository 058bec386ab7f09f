import * as fc from 'fast-check';
import test from 'ava';

import {scheduleArbitrary} from '../schedules/fault-schedule.js';
import {runSchedule} from '../schedules/run-schedule.js';

const SEED = 20_261_203;
const RUNS = 60;

test(`no promise breaks under generated faults, seed ${SEED}`, (t) => {
  fc.assert(
    fc.property(scheduleArbitrary, (schedule) => {
      const violations = runSchedule(schedule);
      return violations.length === 0;
    }),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});
