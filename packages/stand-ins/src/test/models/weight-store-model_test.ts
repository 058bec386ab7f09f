import test from 'ava';

import {seededRandom} from '../../lib/random.js';
import {VirtualScheduler} from '../../models/scheduler.js';
import {WeightStoreModel} from '../../models/weight-store-model.js';

const setUp = (transitLimit = 16) => {
  const scheduler = new VirtualScheduler();
  const store = new WeightStoreModel(scheduler, seededRandom(1), {
    loadsPerSecond: 2,
    fullSpeedLoads: 2,
    transitLimit,
    loadMs: 250,
  });
  const ends: {readonly atMs: number; readonly outcome: string}[] = [];
  const load = (adapter: string) =>
    store.load({adapter, version: 'v1'}, (outcome) => {
      ends.push({atMs: scheduler.nowMs(), outcome});
    });
  return {scheduler, store, ends, load};
};

test('two loads start at once and later ones at two a second', (t) => {
  const {scheduler, ends, load} = setUp();
  ['a', 'b', 'c', 'd'].forEach(load);
  scheduler.runUntil(5_000);
  t.deepEqual(
    ends.map(({atMs}) => atMs),
    [250, 250, 750, 1_250],
  );
});

test('loads beyond the transit limit are proportionally longer', (t) => {
  const {scheduler, ends, load} = setUp(2);
  ['a', 'b', 'c', 'd'].forEach(load);
  scheduler.runUntil(5_000);
  t.is(ends[0]?.atMs, 500);
});

test('failures are switchable, and a cancelled load gives no answer', (t) => {
  const {scheduler, store, ends, load} = setUp();
  store.setFaults({failNextLoads: 1});
  load('a');
  load('b').cancel();
  t.is(store.loadsInTransit, 1);
  scheduler.runUntil(1_000);
  t.deepEqual(ends, [{atMs: 250, outcome: 'failed'}]);
  t.is(store.loadsInTransit, 0);
});
