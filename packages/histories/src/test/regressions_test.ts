import test from 'ava';

import {runSchedule} from '../schedules/run-schedule.js';
import {REGRESSIONS} from './regressions.js';

for (const {name, schedule} of REGRESSIONS) {
  test(name, (t) => {
    t.deepEqual(runSchedule(schedule), []);
  });
}
