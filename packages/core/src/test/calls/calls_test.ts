import test from 'ava';

import type {CallDescription} from '../../calls/index.js';
import {CallWorld, responseTo} from './call-world.js';

const topUp = (
  requestId: string,
  changes: Partial<CallDescription> = {},
): CallDescription => ({
  requestId,
  member: 'halloran',
  pool: 'billing-desk',
  operation: 'top-up',
  idempotent: false,
  idempotencyKey: 'key-1',
  bodyDigest: 'digest-1',
  ...changes,
});

const balance = (requestId: string): CallDescription =>
  topUp(requestId, {
    operation: 'balance',
    idempotent: true,
    idempotencyKey: '',
  });

const refusalOf = (world: CallWorld, requestId: string) =>
  world.answersTo(requestId)[0]?.refusal;

test('a repeat on another host gets the recorded answer', (t) => {
  const world = new CallWorld(['a', 'b']);
  world.submit(0, topUp('first'));
  world.settle();
  world.submit(1, topUp('second'));
  world.settle();
  t.is(world.runs.length, 1);
  t.deepEqual(
    world.answersTo('second')[0]?.response,
    responseTo(topUp('first')),
  );
});

test('one call costs two writes to the store', (t) => {
  const world = new CallWorld(['a']);
  world.submit(0, topUp('first'));
  world.settle();
  t.deepEqual(Object.fromEntries(world.store.calls), {create: 1, update: 1});
});

test('a claim whose answer was lost is settled by its nonce', (t) => {
  const world = new CallWorld(['a']);
  world.submit(0, topUp('first'));
  world.stepStore(0, 'answer-lost');
  t.is(world.hosts[0]?.take('send-call').length, 0);
  world.settle();
  t.is(world.runs.length, 1);
  t.truthy(world.answersTo('first')[0]?.response);
});

test('nothing is sent while the store is down', (t) => {
  const world = new CallWorld(['a']);
  world.submit(0, topUp('first'));
  world.stepStore(0, 'unavailable');
  world.settle();
  t.is(world.runs.length, 0);
  t.like(refusalOf(world, 'first'), {
    code: 'store-unavailable',
    notRun: true,
    retryAfterMs: 500,
  });
});

test('a key is refused for another body and open to another member', (t) => {
  const world = new CallWorld(['a', 'b']);
  world.submit(0, topUp('first'));
  world.settle();
  world.submit(1, topUp('second', {bodyDigest: 'digest-2'}));
  world.submit(0, topUp('third', {bodyDigest: 'digest-2'}));
  world.submit(1, topUp('fourth', {member: 'al-hajar'}));
  world.settle();
  t.is(refusalOf(world, 'second')?.code, 'idempotency-key-reused');
  t.is(refusalOf(world, 'third')?.code, 'idempotency-key-reused');
  t.deepEqual(
    world.runs.map(({requestId}) => requestId),
    ['first', 'fourth'],
  );
});

test('a call without a key is refused before the store is asked', (t) => {
  const world = new CallWorld(['a']);
  world.submit(0, topUp('first', {idempotencyKey: ''}));
  t.like(refusalOf(world, 'first'), {
    code: 'idempotency-key-missing',
    notRun: true,
  });
  t.is(world.hosts[0]?.take('store-request').length, 0);
});

test('a call that is proved not to have run releases its claim', (t) => {
  const world = new CallWorld(['a', 'b']);
  world.submit(0, topUp('first'));
  world.stepStore(0, 'answered');
  for (let attempt = 0; attempt < 3; attempt += 1) {
    world.stepServer(0, 'refused');
  }
  t.true(refusalOf(world, 'first')?.notRun);
  world.settle();
  world.submit(1, topUp('second'));
  world.settle();
  t.deepEqual(
    world.runs.map(({requestId}) => requestId),
    ['second'],
  );
});

test('an unknown outcome is told to repeats and never run again', (t) => {
  const world = new CallWorld(['a', 'b']);
  world.submit(0, topUp('first'));
  world.stepStore(0, 'answered');
  world.stepServer(0, 'call-lost');
  world.settle();
  world.submit(1, topUp('second'));
  world.settle();
  for (const requestId of ['first', 'second']) {
    t.like(refusalOf(world, requestId), {
      code: 'outcome-unknown',
      notRun: false,
    });
  }
  t.is(world.runs.length, 0);
});

test('a claim of a host that died becomes unknown, not free', (t) => {
  const world = new CallWorld(['a', 'b']);
  world.submit(0, topUp('first'), 1_000);
  world.stepStore(0, 'answered');
  world.crash(0);
  world.submit(1, topUp('second'));
  world.settle();
  t.is(refusalOf(world, 'second')?.code, 'in-progress');
  world.wait(60_000);
  world.submit(1, topUp('third'));
  world.settle();
  t.is(refusalOf(world, 'third')?.code, 'outcome-unknown');
  t.is(world.runs.length, 0);
});

test('a host that was paused after its claim sends nothing', (t) => {
  const world = new CallWorld(['a']);
  world.submit(0, topUp('first'));
  const [request] = world.hosts[0]?.take('store-request') ?? [];
  if (request === undefined) {
    t.fail('no claim was asked for');
    return;
  }
  const sentAt = {monotonicMs: 0, wallMs: 0};
  const result = world.store.apply(request.operation);
  const {correlation} = request;
  world.clock.nowMs = 6_000;
  world.hosts[0]?.post({
    type: 'store-responded',
    area: 'calls',
    correlation,
    result,
    sentAt,
  });
  t.is(world.hosts[0]?.take('send-call').length, 0);
  t.true(world.hosts[0]?.take('refuse-call')[0]?.refusal.notRun);
});

test('an outcome is recorded after an outage of the store', (t) => {
  const world = new CallWorld(['a', 'b']);
  world.submit(0, topUp('first'));
  world.stepStore(0, 'answered');
  world.stepServer(0, 'answered');
  world.stepStore(0, 'unavailable');
  world.submit(0, topUp('repeat'));
  t.truthy(world.answersTo('repeat')[0]?.response);
  world.wait(1_000);
  world.settle();
  world.submit(1, topUp('second'));
  world.settle();
  t.truthy(world.answersTo('second')[0]?.response);
  t.is(world.runs.length, 1);
});

test('an answer above what a claim keeps is reported to repeats', (t) => {
  const world = new CallWorld(['a', 'b']);
  const host = world.hosts[0];
  world.submit(0, topUp('first'));
  world.stepStore(0, 'answered');
  const [send] = host?.take('send-call') ?? [];
  host?.post({
    type: 'call-attempt-finished',
    requestId: 'first',
    attemptId: send?.attemptId ?? '',
    server: send?.server ?? '',
    outcome: {kind: 'answered', status: 200},
    response: {
      status: 200,
      contentType: 'text/plain',
      bodyBase64: 'x'.repeat(800_000),
    },
  });
  world.settle();
  world.submit(1, topUp('second'));
  world.settle();
  t.like(refusalOf(world, 'second'), {code: 'answer-not-kept', notRun: false});
});

test('an idempotent call is tried on another server', (t) => {
  const world = new CallWorld(['a']);
  world.submit(0, balance('first'));
  const [first] = world.hosts[0]?.take('send-call') ?? [];
  world.hosts[0]?.post({
    type: 'call-attempt-finished',
    requestId: 'first',
    attemptId: first?.attemptId ?? '',
    server: first?.server ?? '',
    outcome: {
      kind: 'unknown',
      refusal: {code: 'upstream-failed', notRun: false, detail: ''},
      deliveredBytes: 0,
    },
    response: undefined,
  });
  const [second] = world.hosts[0]?.take('send-call') ?? [];
  t.truthy(second);
  t.not(second?.server, first?.server);
});

test('the retries of a pool in trouble stay below its budget', (t) => {
  const world = new CallWorld(['a']);
  let sends = 0;
  for (let index = 0; index < 200; index += 1) {
    world.submit(0, balance(`request-${index}`));
    while (world.stepServer(0, 'not-sent')) {
      sends += 1;
    }
  }
  t.is(world.answers.length, 200);
  t.true(world.answers.every(({refusal}) => refusal?.notRun));
  t.true(sends <= 200 + 10 + 0.1 * 200, `${sends} sends`);
});

test('calls spread over the servers, and a leaving one gets none', (t) => {
  const world = new CallWorld(['a']);
  const serversOf = (count: number, prefix: string) => {
    for (let index = 0; index < count; index += 1) {
      world.submit(0, balance(`${prefix}-${index}`));
    }
    const sends = world.hosts[0]?.take('send-call') ?? [];
    return sends.map(({server}) => server);
  };
  t.is(new Set(serversOf(6, 'before')).size, 3);
  world.leave('billing-2');
  t.deepEqual([...new Set(serversOf(6, 'after'))].sort(), [
    'billing-1',
    'billing-3',
  ]);
});
