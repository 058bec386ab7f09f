import type {StoreOperation, StoreResult} from '@basilworks/core';
import test from 'ava';

import {seededRandom} from '../../lib/random.js';
import {ObjectStoreModel} from '../../models/object-store-model.js';
import {VirtualScheduler} from '../../models/scheduler.js';

const setUp = (writesPerSecond = 400) => {
  const scheduler = new VirtualScheduler();
  const store = new ObjectStoreModel(scheduler, seededRandom(1), {
    readsPerSecond: 2_000,
    writesPerSecond,
    latencyMs: 2,
  });
  const call = (operation: StoreOperation): StoreResult[] => {
    const results: StoreResult[] = [];
    store.call(operation, (result) => results.push(result));
    scheduler.runUntil(scheduler.nowMs() + 10);
    return results;
  };
  return {scheduler, store, call};
};

const create = (value: string): StoreOperation => ({
  type: 'create',
  kind: 'claim',
  name: 'a',
  value,
});
const get: StoreOperation = {type: 'get', kind: 'claim', name: 'a'};

test('only one of two creates succeeds', (t) => {
  const {call} = setUp();
  t.deepEqual(call(create('1')), [{type: 'written', version: 1}]);
  const [second] = call(create('2'));
  t.is(second?.type, 'conflict');
  t.like(call(get)[0], {type: 'found', object: {value: '1', version: 1}});
});

test('an update against an old version changes nothing', (t) => {
  const {call} = setUp();
  call(create('1'));
  const update = {type: 'update', kind: 'claim', name: 'a'} as const;
  call({...update, value: '2', expectedVersion: 1});
  const [stale] = call({...update, value: '3', expectedVersion: 1});
  t.like(stale, {type: 'conflict', current: {value: '2', version: 2}});
});

test('a lost answer leaves the write in effect', (t) => {
  const {call, store} = setUp();
  store.setFaults({loseNextAnswers: 1});
  t.deepEqual(call(create('1')), [{type: 'unknown'}]);
  t.like(call(get)[0], {type: 'found', object: {value: '1'}});
});

test('an outage refuses calls, ends watches and writes nothing', (t) => {
  const {call, store, scheduler} = setUp();
  const results: StoreResult[] = [];
  store.call(
    {type: 'watch', kind: 'claim', name: 'a', newerThan: 0, waitMs: 9_000},
    (result) => results.push(result),
  );
  scheduler.runUntil(50);
  store.setFaults({outage: true});
  t.is(call(create('1'))[0]?.type, 'unavailable');
  t.is(results[0]?.type, 'unavailable');
  store.setFaults({outage: false});
  t.deepEqual(call(get), [{type: 'missing'}]);
});

test('a watch answers on the next write, or unchanged at its end', (t) => {
  const {call, store, scheduler} = setUp();
  call(create('1'));
  const results: StoreResult[] = [];
  const watch = {type: 'watch', kind: 'claim', name: 'a', waitMs: 100} as const;
  store.call({...watch, newerThan: 1}, (result) => results.push(result));
  scheduler.runUntil(scheduler.nowMs() + 200);
  t.deepEqual(results, [{type: 'unchanged'}]);
  store.call({...watch, newerThan: 1}, (result) => results.push(result));
  call({
    type: 'update',
    kind: 'claim',
    name: 'a',
    value: '2',
    expectedVersion: 1,
  });
  t.like(results[1], {type: 'found', object: {value: '2'}});
});

test('lists page by name under a prefix', (t) => {
  const {call} = setUp();
  for (const name of ['b2', 'a1', 'b3', 'b1']) {
    call({type: 'create', kind: 'k', name, value: ''});
  }
  const list = {type: 'list', kind: 'k', prefix: 'b', limit: 2} as const;
  const names = (after: string) => {
    const [result] = call({...list, after});
    return result?.type === 'listed' ? result.objects.map((o) => o.name) : [];
  };
  t.deepEqual(names(''), ['b1', 'b2']);
  t.deepEqual(names('b2'), ['b3']);
});

test('writes above the rate are refused and counted', (t) => {
  const {store, scheduler} = setUp(10);
  const results: StoreResult[] = [];
  for (let index = 0; index < 15; index++) {
    store.call(
      {type: 'create', kind: 'k', name: `n${index}`, value: ''},
      (result) => results.push(result),
    );
  }
  scheduler.runUntil(10);
  const written = results.filter(({type}) => type === 'written');
  t.is(written.length, 10);
  t.is(store.counts.create, 15);
});
