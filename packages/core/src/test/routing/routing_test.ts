import test from 'ava';

import {requestDescriptionSchema} from '../../request.js';
import type {PlacementRequested} from '../../routing/messages.js';
import {engineOf, PolicyHost} from '../lib/policy-host.js';

const DEFERRABLE = {priorityClass: 'deferrable'} as const;

const twoEngines = (slots = 2, positions = 2): PolicyHost =>
  new PolicyHost([
    engineOf('engine-1', slots, positions),
    engineOf('engine-2', slots, positions),
  ]);

const startedServers = (host: PolicyHost): readonly string[] =>
  host.take('start-attempt').map(({server}) => server);

test('requests stay on the replica until it is full', (t) => {
  const host = twoEngines(2, 4);
  host.submit('r1', 'a');
  const [load] = host.endOrders('load');
  const servers = ['r2', 'r3', 'r4'].map((requestId) => {
    host.submit(requestId, 'a');
    return host.take('dispatch-execution').at(-1)?.server;
  });
  t.deepEqual(servers, [load?.server, load?.server, load?.server]);
  t.deepEqual(host.take('order-adapter'), []);
});

test('a second replica is loaded when the wait costs more than a load', (t) => {
  const host = twoEngines(2, 1);
  for (let index = 0; index < 4; index += 1) {
    host.submit(`r${index}`, 'a');
  }
  t.deepEqual(
    host
      .take('order-adapter')
      .map(({server}) => server)
      .sort(),
    ['engine-1', 'engine-2'],
  );
});

test('a request refused before it ran is retried on another server', (t) => {
  const host = twoEngines();
  host.submit('r1', 'a');
  const [load] = host.take('order-adapter');
  host.post({type: 'server-lost', server: load?.server ?? ''});
  const [refused] = host.take('refuse-execution');
  host.post({
    type: 'attempt-finished',
    requestId: 'r1',
    attemptId: refused?.executionId ?? '',
    outcome: {
      kind: 'refused-before-run',
      refusal: {code: 'ownership-lost', notRun: true, detail: ''},
    },
  });
  const [second] = host.take('start-attempt');
  t.not(second?.server, load?.server);
  t.deepEqual(host.take('refuse-request'), []);
});

test('an unknown outcome is resumed on its server, never sent again', (t) => {
  const host = twoEngines();
  host.submit('r1', 'a');
  host.endOrders('load');
  const [dispatch] = host.take('dispatch-execution');
  host.post({
    type: 'attempt-finished',
    requestId: 'r1',
    attemptId: 'r1.1',
    outcome: {
      kind: 'unknown',
      refusal: {code: 'peer-unreachable', notRun: false, detail: ''},
      deliveredBytes: 42,
    },
  });
  host.advance(1_000);
  const [resume] = host.take('resume-attempt');
  t.like(resume, {attemptId: 'r1.1', offsetBytes: 42});
  t.is(resume?.server, dispatch?.server);
  t.deepEqual(startedServers(host), []);
});

test('an answer that cannot be resumed ends with an unknown outcome', (t) => {
  const host = twoEngines();
  host.submit('r1', 'a');
  host.post({
    type: 'attempt-finished',
    requestId: 'r1',
    attemptId: 'r1.1',
    outcome: {
      kind: 'unknown',
      refusal: {code: 'unknown-request', notRun: false, detail: ''},
      deliveredBytes: 0,
    },
  });
  const [refused] = host.take('refuse-request');
  t.like(refused?.refusal, {code: 'outcome-unknown', notRun: false});
});

test('an abandoned request is cancelled and ends once', (t) => {
  const host = twoEngines();
  host.submit('r1', 'a');
  host.post({type: 'request-abandoned', requestId: 'r1'});
  host.post({type: 'request-abandoned', requestId: 'r1'});
  t.is(host.take('cancel-attempt').length, 1);
  host.post({
    type: 'attempt-finished',
    requestId: 'r1',
    attemptId: 'r1.1',
    outcome: {
      kind: 'not-sent',
      refusal: {code: 'cancelled', notRun: true, detail: ''},
    },
  });
  t.is(host.take('refuse-request').length, 1);
  t.is(host.state.routing.requests.size, 0);
  t.is(host.state.routing.placements.size, 0);
});

test('a repeated placement request of a peer gets the same server', (t) => {
  const host = twoEngines();
  const message: PlacementRequested = {
    type: 'placement-requested',
    placementId: 'x.1',
    request: requestDescriptionSchema.parse({
      requestId: 'x',
      member: 'member-1',
      adapter: 'a',
      version: 'v1',
      baseModel: 'base',
      pool: 'assistant-models',
      priorityClass: 'urgent',
      prefixDigest: '',
      maximumTokens: 10,
    }),
    remainingMs: 10_000,
    excluded: [],
  };
  for (let count = 0; count < 3; count += 1) {
    host.post({
      type: 'peer-message',
      from: 'entry-2',
      fromIncarnation: 'entry-2#1',
      message,
    });
  }
  const servers = host
    .take('send-peer-message')
    .flatMap(({message: sent}) =>
      sent.type === 'placement-granted' ? [sent.server] : [],
    );
  t.is(servers.length, 3);
  t.is(new Set(servers).size, 1);
  t.is(host.state.routing.inFlight.get(servers[0] ?? ''), 1);
});

test('deferrable work is held until its adapter has idle positions', (t) => {
  const host = twoEngines(2, 4);
  host.submit('r1', 'a', DEFERRABLE, 600_000);
  host.advance(2_000);
  t.deepEqual(host.take('order-adapter'), []);
  host.submit('r2', 'a');
  host.endOrders('load');
  host.advance(1_000);
  host.openAttempts();
  t.deepEqual(
    host.take('dispatch-execution').map(({executionId}) => executionId),
    ['r2.1', 'r1.1'],
  );
});

test('deferrable work is sent before its deadline is at risk', (t) => {
  const host = twoEngines();
  host.submit('r1', 'a', DEFERRABLE, 120_000);
  t.deepEqual(host.take('order-adapter'), []);
  host.advance(100_000);
  host.openAttempts();
  host.endOrders('load');
  t.is(host.take('dispatch-execution').length, 1);
});

test('a request that would be late is refused at once and never run', (t) => {
  const host = new PolicyHost([engineOf('engine-1', 1, 1)]);
  host.submit('r1', 'a');
  host.endOrders('load');
  for (let index = 2; index < 12; index += 1) {
    host.submit(`r${index}`, 'a', {}, 8_000);
  }
  const refused = host.take('refuse-request');
  t.true(refused.length > 0);
  for (const {refusal} of refused) {
    t.like(refusal, {code: 'overloaded', notRun: true});
    t.true((refusal.retryAfterMs ?? 0) > 0);
  }
  const sent = host.state.residency.executions.size;
  t.is(sent + refused.length, 11);
});

test('under load the lower priority class is refused first', (t) => {
  const host = new PolicyHost([engineOf('engine-1', 1, 1)]);
  host.submit('r0', 'a');
  host.endOrders('load');
  const firstRefused = (priorityClass: 'urgent' | 'standard'): number => {
    for (let index = 0; index < 40; index += 1) {
      const requestId = `${priorityClass}-${index}`;
      host.submit(requestId, 'a', {priorityClass}, 20_000);
      if (host.take('refuse-request').length > 0) {
        return index;
      }
    }
    return Infinity;
  };
  const standard = firstRefused('standard');
  const urgent = firstRefused('urgent');
  t.true(standard < urgent);
});
