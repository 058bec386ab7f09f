import test from 'ava';

import {inFlightOf} from '../../residency/selectors.js';
import {engineOf, PolicyHost} from '../lib/policy-host.js';

const oneEngine = (slots = 2, positions = 4): PolicyHost =>
  new PolicyHost([engineOf('engine-1', slots, positions)]);

const dispatched = (host: PolicyHost): readonly string[] =>
  host.take('dispatch-execution').map(({executionId}) => executionId);

const holdSlots = (host: PolicyHost): void => {
  host.submit('r1', 'a');
  host.submit('r2', 'b');
  host.endOrders('load');
};

test('a request is sent only after its exact version was loaded', (t) => {
  const host = oneEngine();
  host.submit('r1', 'a', {version: 'v1'});
  host.submit('r2', 'a', {version: 'v2'});
  t.deepEqual(dispatched(host), []);
  const [first, second] = host.take('order-adapter');
  t.deepEqual([first?.version, second?.version], ['v1', 'v2']);
  host.post({
    type: 'adapter-order-finished',
    orderId: second?.orderId ?? '',
    outcome: 'done',
  });
  t.deepEqual(dispatched(host), ['r2.1']);
});

test('requests for one adapter share one load', (t) => {
  const host = oneEngine();
  host.submit('r1', 'a');
  host.submit('r2', 'a');
  t.is(host.endOrders('load').length, 1);
  t.deepEqual(dispatched(host), ['r1.1', 'r2.1']);
});

test('an adapter in use is not evicted, and its slot is given on after', (t) => {
  const host = oneEngine();
  holdSlots(host);
  host.submit('r3', 'c');
  host.advance(1_000);
  t.deepEqual(host.take('order-adapter'), []);
  host.finish('r1.1');
  host.advance(100);
  t.deepEqual(
    host.endOrders('unload').map(({adapter}) => adapter),
    ['a'],
  );
  t.deepEqual(
    host.endOrders('load').map(({adapter}) => adapter),
    ['c'],
  );
});

test('what is asked for often stays, what was asked for once goes', (t) => {
  const host = oneEngine();
  for (const [index, adapter] of ['a', 'b', 'a', 'a'].entries()) {
    host.submit(`r${index}`, adapter);
    host.endOrders('load');
    host.finish(`r${index}.1`);
    host.advance(30_000);
    host.report('engine-1', ['a', 'b'].slice(0, index + 1));
  }
  host.submit('r9', 'c');
  host.advance(100);
  t.deepEqual(
    host.endOrders('unload').map(({adapter}) => adapter),
    ['b'],
  );
});

test('a load of unknown outcome is settled by a report before use', (t) => {
  const host = oneEngine();
  host.submit('r1', 'a');
  host.endOrders('load', 'unknown');
  host.advance(600);
  t.deepEqual(dispatched(host), []);
  t.deepEqual(host.take('order-adapter'), []);
  host.report('engine-1', ['a']);
  t.deepEqual(dispatched(host), ['r1.1']);
});

test('an unknown load that a report denies is ordered again', (t) => {
  const host = oneEngine();
  host.submit('r1', 'a');
  host.endOrders('load', 'unknown');
  host.advance(600);
  host.report('engine-1', []);
  host.advance(600);
  t.is(host.endOrders('load').length, 1);
  t.deepEqual(dispatched(host), ['r1.1']);
});

test('an adapter that fails to load is refused and blocks no other', (t) => {
  const host = oneEngine();
  host.submit('r1', 'bad');
  host.submit('r2', 'good');
  const orders = host.take('order-adapter');
  for (const {orderId, adapter} of orders) {
    const outcome = adapter === 'bad' ? 'failed' : 'done';
    host.post({type: 'adapter-order-finished', orderId, outcome});
  }
  t.deepEqual(dispatched(host), ['r2.1']);
  host.advance(400);
  t.deepEqual(host.take('order-adapter'), []);
  host.advance(2_000);
  host.endOrders('load', 'failed');
  const [refused] = host.take('refuse-execution');
  t.is(refused?.executionId, 'r1.1');
  t.like(refused?.refusal, {code: 'load-failed', notRun: true});
});

test('a restarted engine holds nothing until it is loaded again', (t) => {
  const host = oneEngine();
  holdSlots(host);
  host.finish('r1.1');
  dispatched(host);
  host.advance(500);
  host.report('engine-1', [], 'engine#2');
  host.submit('r3', 'a');
  t.deepEqual(dispatched(host), []);
  t.is(host.endOrders('load').length, 1);
  t.deepEqual(dispatched(host), ['r3.1']);
});

test('a leaving server gets no new work; what runs on it goes on', (t) => {
  const host = oneEngine();
  host.submit('r1', 'a');
  host.endOrders('load');
  dispatched(host);
  host.submit('r2', 'b');
  host.markLeaving('engine-1');
  t.deepEqual(
    host.take('refuse-execution').map(({executionId}) => executionId),
    ['r2.1'],
  );
  t.deepEqual(host.take('cancel-execution'), []);
  t.deepEqual(inFlightOf(host.state, 'engine-1'), [
    {adapter: 'a', version: 'v1', running: 1},
  ]);
});

test('a lost server gets nothing more in the same turn', (t) => {
  const host = oneEngine();
  host.submit('r1', 'a');
  const [order] = host.take('order-adapter');
  host.post({type: 'server-lost', server: 'engine-1'});
  t.like(host.take('refuse-execution')[0]?.refusal, {
    code: 'ownership-lost',
    notRun: true,
  });
  host.post({
    type: 'adapter-order-finished',
    orderId: order?.orderId ?? '',
    outcome: 'done',
  });
  t.deepEqual(dispatched(host), []);
});

test('nothing that was resident at takeover goes before it is idle', (t) => {
  const host = oneEngine(1);
  host.post({type: 'server-lost', server: 'engine-1'});
  host.post({
    type: 'server-acquired',
    server: 'engine-1',
    fencingNumber: 9,
    inherited: 'unknown',
    inFlight: [],
  });
  host.advance(500);
  host.report('engine-1', ['old'], 'engine#1', 1);
  host.effects = [];
  host.submit('r1', 'a');
  host.advance(500);
  t.deepEqual(host.take('order-adapter'), []);
  host.report('engine-1', ['old'], 'engine#1', 0);
  host.advance(500);
  t.is(host.endOrders('unload').length, 1);
});

test('urgent requests go before the others, by their deadlines', (t) => {
  const host = oneEngine(2, 1);
  host.submit('r1', 'a');
  host.endOrders('load');
  host.submit('r2', 'a', {priorityClass: 'standard'});
  host.submit('r3', 'a', {}, 40_000);
  host.submit('r4', 'a', {}, 20_000);
  const order = [...dispatched(host)];
  for (const executionId of ['r1.1', 'r4.1', 'r3.1']) {
    host.finish(executionId);
    order.push(...dispatched(host));
  }
  t.deepEqual(order, ['r1.1', 'r4.1', 'r3.1', 'r2.1']);
});

test('a new version is loaded before a request needs it', (t) => {
  const host = oneEngine(3);
  holdSlots(host);
  host.finish('r1.1');
  host.finish('r2.1');
  host.state.configuration.entries.set('a', {
    adapter: 'a',
    baseModel: 'base',
    version: 'v2',
    previousVersions: ['v1'],
    priorityClass: 'urgent',
    urgency: 50,
    pool: 'assistant-models',
    retired: false,
  });
  host.post({type: 'configuration-applied', revision: 2});
  t.deepEqual(
    host.endOrders('load').map(({adapter, version}) => [adapter, version]),
    [['a', 'v2']],
  );
  t.deepEqual(host.take('order-adapter'), []);
  host.effects = [];
  host.submit('r3', 'a', {version: 'v2'});
  t.deepEqual(dispatched(host), ['r3.1']);
});
