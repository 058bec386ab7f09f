import test from 'ava';
import fc from 'fast-check';

import type {RequestDescription} from '../../request.js';
import {WorkWorld, type StoreTreatment} from './work-world.js';

const SEED = 20_261_205;

const review = (
  requestId: string,
  member = 'halloran',
): RequestDescription => ({
  requestId,
  member,
  adapter: 'voyage',
  version: 'v1',
  baseModel: 'marine-8b',
  pool: 'assistant-models',
  priorityClass: 'deferrable',
  prefixDigest: '',
  maximumTokens: 100,
});

test('work is accepted when stored, and its result is stored', (t) => {
  const world = new WorkWorld(['a', 'b']);
  world.submit(0, review('one'));
  t.false(world.accepted.has('one'));
  world.stepStore(0, 'answered');
  t.true(world.accepted.has('one'));
  world.drain();
  t.deepEqual(world.query(1, 'one', 'halloran'), {
    kind: 'done',
    answer: 'body',
  });
  t.is(world.store.all('work').length, 0);
  t.is(world.store.calls.get('create'), 2);
  t.is(world.store.calls.get('delete'), 1);
});

test('another member is told what it is told of absent work', (t) => {
  const world = new WorkWorld(['a', 'b']);
  world.submit(0, review('one'));
  world.stepStore(0, 'answered');
  for (const host of [0, 1]) {
    t.deepEqual(world.query(host, 'one', 'al-hajar'), {kind: 'not-found'});
    t.deepEqual(world.query(host, 'two', 'al-hajar'), {kind: 'not-found'});
  }
  world.drain();
  t.deepEqual(world.query(0, 'one', 'al-hajar'), {kind: 'not-found'});
});

test('work survives the loss of every host at once', (t) => {
  const world = new WorkWorld(['a', 'b']);
  world.submit(0, review('one'));
  world.submit(1, review('two'));
  world.stepStore(0, 'answered');
  world.stepStore(1, 'answered');
  t.is(world.accepted.size, 2);
  world.crash(0);
  world.crash(1);
  world.settle();
  for (const requestId of ['one', 'two']) {
    t.is(world.query(0, requestId, 'halloran')?.kind, 'done');
  }
});

test('large bodies and answers are kept in parts and come back whole', (t) => {
  const world = new WorkWorld(['a', 'b']);
  const body = 'überprüfen '.repeat(120_000);
  world.submit(0, review('one'), body);
  world.drain();
  t.true(world.accepted.has('one'));
  t.deepEqual(world.query(1, 'one', 'halloran'), {kind: 'done', answer: body});
  const largest = Math.max(
    ...world.store.all('work-part').map(({value}) => value.length),
  );
  t.true(largest < 1_000_000, `${largest} characters`);
  t.true(
    world.store.all('work-part').every(({name}) => name.includes('answer')),
  );
});

test('a body above every limit is refused before anything is stored', (t) => {
  const world = new WorkWorld(['a']);
  world.submit(0, review('one'), 'x'.repeat(10_000_000));
  t.true(world.refusedNotRun.has('one'));
  t.false(world.stepStore(0, 'answered'));
});

test('work that is not done in time is reported as failed', (t) => {
  const world = new WorkWorld(['a']);
  world.submit(0, review('one'), 'body', 5_000);
  world.stepStore(0, 'answered');
  world.wait(6_000);
  while (world.stepStore(0, 'answered')) {
    // Only the store answers; the work itself never ends.
  }
  t.like(world.query(0, 'one', 'halloran'), {
    kind: 'failed',
    refusal: {code: 'timeout'},
  });
});

test('work that a host refuses to run now is run later', (t) => {
  const world = new WorkWorld(['a']);
  world.submit(0, review('one'));
  world.stepStore(0, 'answered');
  const refusal = {code: 'overloaded', notRun: true, detail: ''} as const;
  world.stepWork(0, {kind: 'not-sent', refusal});
  t.is(world.query(0, 'one', 'halloran')?.kind, 'waiting');
  world.settle();
  t.is(world.query(0, 'one', 'halloran')?.kind, 'done');
});

type Step =
  | {kind: 'submit'; host: number}
  | {kind: 'store'; host: number; treatment: StoreTreatment}
  | {kind: 'work'; host: number; answered: boolean}
  | {kind: 'crash'; host: number}
  | {kind: 'wait'; milliseconds: number};

const host = fc.nat({max: 1});
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('submit' as const), host}),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('store' as const),
      host,
      treatment: fc.constantFrom<StoreTreatment>(
        'answered',
        'answered',
        'answer-lost',
        'call-lost',
        'unavailable',
      ),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('work' as const),
      host,
      answered: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('crash' as const), host}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      milliseconds: fc.constantFrom(300, 2_500, 31_000),
    }),
  },
);

const FAILED = {
  kind: 'unknown',
  refusal: {code: 'upstream-failed', notRun: false, detail: ''},
  deliveredBytes: 0,
} as const;

const runSchedule = (steps: readonly Step[]): WorkWorld => {
  const world = new WorkWorld(['a', 'b']);
  let submitted = 0;
  for (const next of steps) {
    switch (next.kind) {
      case 'submit':
        world.submit(next.host, review(`work-${submitted++}`));
        break;
      case 'store':
        world.stepStore(next.host, next.treatment);
        break;
      case 'work':
        world.stepWork(
          next.host,
          next.answered ? {kind: 'answered', status: 200} : FAILED,
        );
        break;
      case 'crash':
        world.crash(next.host);
        break;
      case 'wait':
        world.wait(next.milliseconds);
        break;
    }
  }
  return world;
};

test('accepted work is never lost, and refused work never runs', (t) => {
  let accepted = 0;
  fc.assert(
    fc.property(fc.array(step, {minLength: 20, maxLength: 60}), (steps) => {
      const world = runSchedule(steps);
      world.settle();
      accepted += world.accepted.size;
      const done = [...world.accepted].every(
        (requestId) => world.query(0, requestId, 'halloran')?.kind === 'done',
      );
      const refusedRan = world.runs.some((requestId) =>
        world.refusedNotRun.has(requestId),
      );
      return done && !refusedRan && world.store.all('work').length === 0;
    }),
    {seed: SEED, numRuns: 300},
  );
  t.log(`seed ${SEED}: 300 schedules, ${accepted} pieces of work accepted`);
  t.true(accepted > 300, 'the schedules accept too little work');
});
