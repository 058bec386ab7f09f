import test from 'ava';
import fastCheck from 'fast-check';

import {
  nextStep,
  type RequestProgress,
  retryAfterMs,
  RetryBudget,
} from '../../index.js';

const progress = (extra: Partial<RequestProgress> = {}): RequestProgress => ({
  route: {kind: 'non-idempotent', resumable: false, maximumAttempts: 1},
  sends: 1,
  runs: 0,
  remainingMs: 1_000,
  answerStarted: false,
  ...extra,
});

const IDEMPOTENT = {
  kind: 'idempotent' as const,
  resumable: false,
  maximumAttempts: 2,
};

test('a request that may have run is repeated only if it is repeatable', (t) => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.constantFrom('non-idempotent' as const, 'stream' as const),
      fastCheck.integer({min: 1, max: 5}),
      fastCheck.integer({min: 1, max: 3}),
      fastCheck.integer({min: 0, max: 5_000}),
      (kind, sends, maximumAttempts, remainingMs) => {
        const step = nextStep(
          'unknown',
          progress({
            route: {kind, resumable: false, maximumAttempts},
            sends,
            runs: 1,
            remainingMs,
          }),
          () => true,
        );
        t.is(step, 'fail');
      },
    ),
  );
});

test('only a request that never ran is refused', (t) => {
  t.is(
    nextStep('not-run', progress(), () => false),
    'refuse',
  );
  t.is(
    nextStep('not-run', progress({runs: 1}), () => false),
    'fail',
  );
  t.is(
    nextStep('not-sent', progress({remainingMs: 0}), () => true),
    'refuse',
  );
});

test('a retry of an unsent request needs no retry budget', (t) => {
  const step = nextStep('not-sent', progress(), () => {
    t.fail('withdraw was called');
    return false;
  });
  t.is(step, 'send-again');
});

test('an idempotent request runs on as many servers as allowed', (t) => {
  const first = progress({route: IDEMPOTENT, runs: 1});
  const second = progress({route: IDEMPOTENT, runs: 2, sends: 2});
  t.is(
    nextStep('failed', first, () => true),
    'send-again',
  );
  t.is(
    nextStep('failed', second, () => true),
    'pass-on-failure',
  );
  t.is(
    nextStep('unknown', first, () => false),
    'fail',
  );
});

test('a resumable stream is sent again after a break', (t) => {
  const route = {kind: 'stream' as const, resumable: true, maximumAttempts: 2};
  const broken = progress({route, runs: 1, answerStarted: true});
  t.is(
    nextStep('unknown', broken, () => true),
    'send-again',
  );
});

test('hosts together stay within the shared retry budget', (t) => {
  const hosts = 9;
  const shared = {ratio: 0.2, extra: 58, windowS: 10};
  const budgets = Array.from(
    {length: hosts},
    () => new RetryBudget(() => shared),
  );
  let requests = 0;
  let repeats = 0;
  for (let ms = 0; ms < 10_000; ms += 10) {
    const at = {monotonicMs: ms, wallMs: ms};
    for (const budget of budgets) {
      budget.deposit(at);
      requests += 1;
      while (budget.withdraw(hosts, at)) {
        repeats += 1;
      }
    }
  }
  t.true(repeats > 0);
  t.true(repeats <= shared.ratio * requests + shared.extra);
});

test('the retry time is at most a third of the remaining time', (t) => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({min: 0, max: 60_000}),
      fastCheck.integer({min: 1, max: 20_000}),
      fastCheck.double({min: 0, max: 1, noNaN: true}),
      (expectedMs, remainingMs, random) => {
        const waitMs = retryAfterMs(expectedMs, remainingMs, () => random);
        t.true(waitMs >= 0 && waitMs <= remainingMs / 3);
      },
    ),
  );
});

// Guards against answers of two servers in one body: an idempotent request was
// sent again after a part of its large answer had been passed on.
test('a plain answer that broke off is not followed by another', (t) => {
  const begun = {route: IDEMPOTENT, runs: 1, answerStarted: true};
  t.is(
    nextStep('unknown', progress(begun), () => true),
    'fail',
  );
  const stream = {...IDEMPOTENT, kind: 'stream' as const, resumable: true};
  t.is(
    nextStep('unknown', progress({...begun, route: stream}), () => true),
    'send-again',
  );
});
