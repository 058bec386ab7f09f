import test from 'ava';
import fc from 'fast-check';

import type {CallDescription} from '../../calls/index.js';
import {
  CallWorld,
  responseTo,
  type ServerTreatment,
  type StoreTreatment,
} from './call-world.js';

const SEED = 20_261_204;
const SCHEDULES = 3_000;
const HOSTS = ['a', 'b'];
const KEYS = ['key-1', 'key-2'];

type Step =
  | {kind: 'submit'; host: number; key: number; body: number}
  | {kind: 'store'; host: number; treatment: StoreTreatment}
  | {kind: 'server'; host: number; treatment: ServerTreatment}
  | {kind: 'crash'; host: number}
  | {kind: 'abandon'; host: number; request: number}
  | {kind: 'late'}
  | {kind: 'wait'; milliseconds: number};

const host = fc.nat({max: HOSTS.length - 1});

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      host,
      key: fc.nat({max: KEYS.length - 1}),
      // Few repeats carry another body.
      body: fc.constantFrom(0, 0, 0, 0, 1),
    }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant('store' as const),
      host,
      treatment: fc.constantFrom<StoreTreatment>(
        'answered',
        'answered',
        'answered',
        'answer-lost',
        'call-lost',
        'late',
        'unavailable',
      ),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('server' as const),
      host,
      treatment: fc.constantFrom<ServerTreatment>(
        'answered',
        'answered',
        'answer-lost',
        'call-lost',
        'refused',
        'not-sent',
      ),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('crash' as const), host}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('abandon' as const),
      host,
      request: fc.nat({max: 10}),
    }),
  },
  {weight: 2, arbitrary: fc.constant<Step>({kind: 'late'})},
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      milliseconds: fc.constantFrom(100, 1_000, 6_000, 20_000),
    }),
  },
);

const runSchedule = (steps: readonly Step[]): CallWorld => {
  const world = new CallWorld(HOSTS);
  let submitted = 0;
  for (const next of steps) {
    switch (next.kind) {
      case 'submit':
        world.submit(
          next.host,
          callOf(`request-${submitted++}`, next.key, next.body),
        );
        break;
      case 'store':
        world.stepStore(next.host, next.treatment);
        break;
      case 'server':
        world.stepServer(next.host, next.treatment);
        break;
      case 'crash':
        world.crash(next.host);
        break;
      case 'abandon':
        world.hosts[next.host]?.post({
          type: 'call-abandoned',
          requestId: `request-${next.request}`,
        });
        break;
      case 'late':
        world.stepLate();
        break;
      case 'wait':
        world.wait(next.milliseconds);
        break;
    }
  }
  return world;
};

const callOf = (
  requestId: string,
  key: number,
  body: number,
): CallDescription => ({
  requestId,
  member: 'al-hajar',
  pool: 'billing-desk',
  operation: 'dose-brine',
  idempotent: false,
  idempotencyKey: KEYS[key] ?? '',
  bodyDigest: `digest-${body}`,
});

const violationsOf = (world: CallWorld): string[] => {
  const violations: string[] = [];
  for (const key of KEYS) {
    const runs = world.runs.filter(
      ({idempotencyKey}) => idempotencyKey === key,
    );
    if (runs.length > 1) {
      violations.push(`${key} ran ${runs.length} times`);
    }
  }
  const ran = new Set(world.runs.map(({requestId}) => requestId));
  for (const {call, refusal, response} of world.answers) {
    if (refusal?.notRun === true && ran.has(call.requestId)) {
      violations.push(`${call.requestId} was told that it was not run`);
    }
    if (response !== undefined) {
      const run = world.runs.find(
        ({idempotencyKey}) => idempotencyKey === call.idempotencyKey,
      );
      const expected = run && responseTo(run).bodyBase64;
      if (
        response.bodyBase64 !== expected ||
        run?.bodyDigest !== call.bodyDigest
      ) {
        violations.push(`${call.requestId} got another call's answer`);
      }
    }
    if (world.answersTo(call.requestId).length > 1) {
      violations.push(`${call.requestId} was answered twice`);
    }
  }
  return violations;
};

test('each key runs at most once, whatever the store and hosts do', (t) => {
  let ran = 0;
  fc.assert(
    fc.property(fc.array(step, {minLength: 40, maxLength: 100}), (steps) => {
      const world = runSchedule(steps);
      const during = violationsOf(world);
      world.wait(30_000);
      world.settle();
      ran += world.runs.length;
      return during.concat(violationsOf(world)).length === 0;
    }),
    {seed: SEED, numRuns: SCHEDULES},
  );
  t.log(`seed ${SEED}: ${SCHEDULES} schedules, ${ran} runs`);
  t.true(ran > SCHEDULES / 2, 'the schedules run too few calls to show much');
});

test('every request is answered once the faults end', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        step.filter(({kind}) => kind !== 'crash' && kind !== 'abandon'),
        {maxLength: 60},
      ),
      (steps) => {
        const world = runSchedule(steps);
        const submits = steps.filter(({kind}) => kind === 'submit').length;
        world.wait(30_000);
        world.settle();
        return world.answers.length === submits;
      },
    ),
    {seed: SEED, numRuns: 1_000},
  );
  t.pass();
});
