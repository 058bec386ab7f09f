import test from 'ava';

import {seededRandom} from '../../lib/random.js';
import type {ExecutionEnd} from '../../models/engine-execution.js';
import {
  DEFAULT_ENGINE_OPTIONS,
  EngineModel,
  type EngineOptions,
} from '../../models/engine-model.js';
import type {OrderOutcome} from '../../models/engine-slots.js';
import {VirtualScheduler} from '../../models/scheduler.js';
import {WeightStoreModel} from '../../models/weight-store-model.js';

const setUp = (options: Partial<EngineOptions> = {}) => {
  const scheduler = new VirtualScheduler();
  const random = seededRandom(1);
  const weightStore = new WeightStoreModel(scheduler, random, {
    loadsPerSecond: 100,
    fullSpeedLoads: 100,
    transitLimit: 100,
    loadMs: 250,
  });
  const engine = new EngineModel(scheduler, random, weightStore, {
    ...DEFAULT_ENGINE_OPTIONS,
    server: 'assistant-models-1',
    ...options,
  });
  const orders: OrderOutcome[] = [];
  const load = (adapter: string, fencingNumber = 1) => {
    engine.load({adapter, version: 'v1', fencingNumber}, (outcome) => {
      orders.push(outcome);
    });
    scheduler.runUntil(scheduler.nowMs() + 300);
  };
  const ends: {readonly executionId: string; readonly end: ExecutionEnd}[] = [];
  const run = (
    executionId: string,
    {adapter = 'a', priority = 1, fencingNumber = 1, prefixDigest = ''} = {},
  ) =>
    engine.run(
      {
        executionId,
        requestId: `r-${executionId}`,
        member: 'm',
        adapter,
        version: 'v1',
        fencingNumber,
        priority,
        prefixDigest,
        tokens: 10,
      },
      {
        onProgress: () => undefined,
        onEnd: (end) => ends.push({executionId, end}),
      },
    );
  return {scheduler, weightStore, engine, orders, load, run, ends};
};

test('a request runs only on a loaded adapter, and to its end', (t) => {
  const {scheduler, engine, load, run, ends} = setUp();
  t.is(run('x'), 'adapter-not-resident');
  load('a');
  t.is(run('x'), undefined);
  scheduler.runUntil(scheduler.nowMs() + 1_000);
  t.deepEqual(ends, [{executionId: 'x', end: 'complete'}]);
  t.like(engine.history[0], {executionId: 'x', adapter: 'a', end: 'complete'});
});

test('old fencing numbers are refused only where they are checked', (t) => {
  const checking = setUp();
  checking.load('a', 5);
  t.is(checking.run('x', {fencingNumber: 4}), 'stale-fencing');
  const ignoring = setUp({checksFencing: false});
  ignoring.load('a', 5);
  t.is(ignoring.run('x', {fencingNumber: 4}), undefined);
});

test('orders beyond the slots and failed loads say so', (t) => {
  const {weightStore, orders, load} = setUp({slots: 1});
  weightStore.setFaults({failNextLoads: 1});
  load('a');
  load('a');
  load('b');
  t.deepEqual(orders, ['failed', 'done', 'no-free-slot']);
});

test('an unload of an adapter in use is recorded, or refused', (t) => {
  const order = {adapter: 'a', version: 'v1', fencingNumber: 1};
  const obeying = setUp();
  obeying.load('a');
  obeying.run('x');
  t.is(obeying.engine.unload(order), 'done');
  t.is(obeying.engine.evictedInUse, 1);
  t.deepEqual(obeying.ends, [{executionId: 'x', end: 'broken'}]);
  const refusing = setUp({evictInUseAllowed: false});
  refusing.load('a');
  refusing.run('x');
  t.is(refusing.engine.unload(order), 'in-use');
  t.is(refusing.engine.evictedInUse, 0);
});

test('urgent requests leave the queue first', (t) => {
  const {scheduler, load, run, ends} = setUp({batchPositions: 1});
  load('a');
  run('first');
  run('later', {priority: 2});
  run('urgent', {priority: 0});
  scheduler.runUntil(scheduler.nowMs() + 5_000);
  t.deepEqual(
    ends.map(({executionId}) => executionId),
    ['first', 'urgent', 'later'],
  );
});

test('a restart breaks what runs and empties the slots', (t) => {
  const {engine, load, run, ends} = setUp();
  load('a');
  run('x');
  const before = engine.incarnation;
  engine.restart();
  t.not(engine.incarnation, before);
  t.deepEqual(ends, [{executionId: 'x', end: 'broken'}]);
  t.is(run('y'), 'adapter-not-resident');
  t.deepEqual(engine.report().resident, []);
});

test('the report lags behind and states its age', (t) => {
  const {scheduler, engine, load, run} = setUp({
    reportPeriodMs: 500,
    tokenMs: 50,
  });
  load('a');
  run('x');
  t.is(engine.report().running, 0);
  scheduler.runUntil(510);
  t.like(engine.report(), {running: 1, ageMs: 10});
});

test('batch use counts filled positions while there is work', (t) => {
  const {scheduler, engine, load, run} = setUp({batchPositions: 4});
  load('a');
  run('x');
  scheduler.runUntil(scheduler.nowMs() + 5_000);
  const {filledPositionMs, offeredPositionMs} = engine.batchUse();
  t.true(filledPositionMs > 0);
  t.is(offeredPositionMs, 4 * filledPositionMs);
});

test('cached prefixes shorten the prompt and are published late', (t) => {
  const {scheduler, engine, load, run} = setUp({
    prefixCache: {capacity: 1, eventLagMs: 300, eventLossProbability: 0},
  });
  load('a');
  run('x', {prefixDigest: 'p'});
  run('y', {prefixDigest: 'q'});
  t.deepEqual(engine.cacheChangesAfter(0), []);
  scheduler.runUntil(scheduler.nowMs() + 300);
  t.deepEqual(
    engine.cacheChangesAfter(0).map((c) => [c.prefixDigest, c.cached]),
    [
      ['p', true],
      ['q', true],
      ['p', false],
    ],
  );
});

test('a cancelled execution frees its position', (t) => {
  const {scheduler, engine, load, run, ends} = setUp({batchPositions: 1});
  load('a');
  run('x');
  run('y');
  t.true(engine.cancel('x'));
  t.false(engine.cancel('x'));
  scheduler.runUntil(scheduler.nowMs() + 1_000);
  t.deepEqual(
    ends.map(({end}) => end),
    ['cancelled', 'complete'],
  );
});
