import test from 'ava';

import {seededRandom} from '../../lib/random.js';
import {
  type PlainCallEnd,
  PlainServiceModel,
} from '../../models/plain-service-model.js';
import {VirtualScheduler} from '../../models/scheduler.js';

const CALL = {operation: 'top-up', member: 'm', body: '{"topUp":1}'};

test('a lost answer counts as a run, a refusal does not', (t) => {
  const scheduler = new VirtualScheduler();
  const service = new PlainServiceModel(scheduler, seededRandom(1), 5);
  const ends: PlainCallEnd['kind'][] = [];
  const call = () => {
    service.call(CALL, ({kind}) => ends.push(kind));
    scheduler.runUntil(scheduler.nowMs() + 5);
  };
  service.setFaults({refuseProbability: 1});
  call();
  t.deepEqual(service.history(), []);
  service.setFaults({refuseProbability: 0, loseNextAnswers: 1});
  call();
  call();
  t.deepEqual(ends, ['refused', 'answer-lost', 'answered']);
  t.deepEqual(service.history(), [{...CALL, runs: 2, lastRunMs: 10}]);
});
