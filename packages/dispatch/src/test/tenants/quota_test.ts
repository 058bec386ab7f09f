import test from 'ava';
import fc from 'fast-check';

import {
  ALLOWANCE_VALIDITY_MS,
  QuotaAccount,
  type QuotaAsk,
  quotaBounds,
  QuotaMeter,
  requestCost,
  type TenantQuota,
} from '../../index.js';

const QUOTA: TenantQuota = {
  unit: 'tokens',
  perSecond: 1_000,
  burst: 1_000,
  plainTokens: 300,
};
const BOUNDS = quotaBounds(QUOTA, {windowS: 8, share: 0.1, extra: 3_100});

const at = (ms: number, wallMs = ms) => ({monotonicMs: ms, wallMs});

const ask = (serial: number, changes: Partial<QuotaAsk> = {}): QuotaAsk => ({
  serial,
  allowance: 0,
  spent: 0,
  lapsed: 0,
  wish: 0,
  needs: [],
  refused: 0,
  ...changes,
});

/** A meter with a full bucket and no recent predecessor. */
const initializedMeter = (bounds = BOUNDS) => {
  const meter = new QuotaMeter(bounds, at(-10_000));
  meter.answer('warm-up', ask(1), at(0));
  return meter;
};

/** Exchanges one ask and answer of a host and its meter, without delay. */
const exchange = (
  account: QuotaAccount,
  meter: QuotaMeter,
  needs: readonly number[],
  ms: number,
) => {
  const answer = meter.answer('h', account.ask(needs, at(ms)), at(ms));
  account.applyAnswer(answer, at(ms), at(ms));
  return answer;
};

test('a request costs its declared tokens; an invalid count costs the plain rate', (t) => {
  const cost = (promptTokens: number, outputTokens: number) =>
    requestCost(QUOTA, {promptTokens, outputTokens});
  t.is(cost(640, 72), 712);
  t.is(requestCost(QUOTA, undefined), 300);
  t.is(cost(NaN, 5), 300);
  t.is(cost(900, -700), 300);
  t.is(cost(2 ** 40, 0), 2 ** 40);
  t.is(cost(2 ** 40, 1), undefined);
  t.is(cost(Infinity, 1), undefined);
  t.is(requestCost({...QUOTA, unit: 'requests'}, undefined), 1);
});

test('the parts of a tolerance add up to the whole', (t) => {
  const {overdraft, capacity, overlap, burst} = BOUNDS;
  t.is(overdraft + (capacity - burst) + overlap, 4_000);
});

test('a lost, repeated or late message is counted once', (t) => {
  const meter = initializedMeter();
  const first = ask(2, {needs: [400]});
  const second = ask(3, {needs: [400, 200]});
  t.is(meter.answer('h', second, at(0)).allowance, 600);
  t.is(meter.answer('h', first, at(0)).allowance, 600);
  t.is(meter.answer('h', second, at(0)).balance, 400);
  const lost = ask(4, {needs: [600]});
  t.is(meter.answer('h', lost, at(0)).allowance, 600);
});

// Guards against a host that resumes after a suspension and spends an allowance
// that its meter has granted to others meanwhile.
test('an allowance expires by the clock that advanced further', (t) => {
  for (const now of [
    at(ALLOWANCE_VALIDITY_MS, 0),
    at(0, ALLOWANCE_VALIDITY_MS),
  ]) {
    const account = new QuotaAccount(BOUNDS);
    exchange(account, initializedMeter(), [500], 0);
    t.is(account.available(at(ALLOWANCE_VALIDITY_MS - 1)), 500);
    t.is(account.available(now), 0);
  }
});

test('an expired allowance returns to the bucket', (t) => {
  const meter = initializedMeter();
  const account = new QuotaAccount(BOUNDS);
  exchange(account, meter, [1_000], 0);
  t.is(meter.answer('i', ask(1), at(100)).balance, 100);
  t.true(exchange(account, meter, [], 2_100).balance === 1_000);
  t.is(meter.answer('j', ask(1, {needs: [1_000]}), at(2_100)).balance, 0);
});

test('tokens are refunded once, and only in time', (t) => {
  const account = new QuotaAccount(BOUNDS);
  exchange(account, initializedMeter(), [1_000], 0);
  const [first, second, third] = [300, 300, 300].map((tokens) =>
    account.trySpend(tokens, at(0)),
  );
  if (!first || !second || !third) {
    return t.fail();
  }
  t.is(account.settle(first, false, at(10)), 300);
  t.is(account.settle(first, false, at(10)), 0);
  t.is(account.settle(second, true, at(10)), 0);
  t.is(account.settle(second, false, at(10)), 0);
  t.is(account.settle(third, false, at(BOUNDS.refundableMs)), 0);
  t.is(account.available(at(10)), 400);
});

test('a host reports refundable tokens as unspent', (t) => {
  const account = new QuotaAccount(BOUNDS);
  exchange(account, initializedMeter(), [900], 0);
  account.trySpend(700, at(0));
  t.is(account.ask([], at(10)).spent, 0);
  t.is(account.ask([], at(BOUNDS.refundableMs)).spent, 700);
});

// Guards against starvation: small requests took every refilled token, so that
// large ones were never served.
test('a large request is served among small ones', (t) => {
  for (const large of [1_000, 1_500, 2_200]) {
    const bounds = {...BOUNDS, overdraft: 1_250};
    const meter = initializedMeter(bounds);
    const served = {small: 0, large: 0};
    const send = (holder: keyof typeof served, cost: number, ms: number) => {
      const spent = served[holder];
      const wants = {allowance: spent, spent, needs: [cost]};
      const {allowance} = meter.answer(holder, ask(ms + 1, wants), at(ms));
      served[holder] = allowance;
    };
    for (let ms = 0; ms < 40_000; ms += 10) {
      if (ms % 330 === 0) {
        send('large', large, ms);
      }
      send('small', 50, ms);
    }
    t.true(served.large >= 10 * large, `${served.large} in ${large}`);
    t.true(served.small + served.large > 0.9 * 40_000);
  }
});

test('a refusal has the time at which there will be room', (t) => {
  const meter = initializedMeter();
  const needs = [2_000, 500];
  const {retryAfterMs, nextMs} = meter.answer('h', ask(2, {needs}), at(0));
  t.is(nextMs, 1_000);
  t.is(retryAfterMs, 1_000);
  const later = meter.answer('i', ask(1, {needs: [100]}), at(0));
  t.is(later.retryAfterMs, 1_500);
  t.false(later.provisional);
});

test('a meter that follows another starts in debt and is provisional', (t) => {
  const meter = new QuotaMeter({...BOUNDS, initialDebt: 700}, at(0));
  const early = meter.answer('h', ask(1, {needs: [10]}), at(0));
  t.like(early, {allowance: 0, provisional: true, nextMs: 700});
  const late = meter.answer('h', ask(2, {needs: [10]}), at(700));
  t.is(late.allowance, 10);
  t.false(meter.answer('h', ask(3), at(2_500)).provisional);
});

test('a change of quota preserves the time to repay a debt', (t) => {
  const meter = initializedMeter();
  meter.answer('h', ask(2, {needs: [2_000]}), at(0));
  meter.answer('h', ask(3, {allowance: 2_000, spent: 2_000}), at(0));
  const tenth = quotaBounds(
    {...QUOTA, perSecond: 100},
    {windowS: 8, share: 0, extra: 0},
  );
  meter.setBounds(tenth, 1, at(0));
  t.is(meter.answer('i', ask(1), at(0)).balance, -100);
  meter.setBounds(BOUNDS, 1, at(500));
  t.is(meter.answer('i', ask(2), at(500)).balance, -500);
});

test('use in any window is bounded by rate, capacity and overdraft', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          holder: fc.constantFrom('a', 'b', 'c'),
          gapMs: fc.integer({min: 0, max: 900}),
          cost: fc.integer({min: 1, max: 2_500}),
          ran: fc.boolean(),
        }),
        {maxLength: 120},
      ),
      (requests) => {
        const meter = initializedMeter();
        const accounts = new Map<string, QuotaAccount>();
        const ran: {ms: number; tokens: number}[] = [];
        let ms = 0;
        for (const {holder, gapMs, cost, ran: runs} of requests) {
          ms += gapMs;
          const account = accounts.get(holder) ?? new QuotaAccount(BOUNDS);
          accounts.set(holder, account);
          account.recordDemand(cost, at(ms));
          let spend = account.trySpend(cost, at(ms));
          if (spend === undefined) {
            const answer = meter.answer(
              holder,
              account.ask([cost], at(ms)),
              at(ms),
            );
            account.applyAnswer(answer, at(ms), at(ms));
            spend = account.trySpend(cost, at(ms));
          }
          if (
            spend !== undefined &&
            account.settle(spend, runs, at(ms)) === 0
          ) {
            ran.push({ms, tokens: cost});
          }
        }
        return ran.every(({ms: endMs}) => {
          const used = ran
            .filter((run) => run.ms > endMs - 8_000 && run.ms <= endMs)
            .reduce((sum, {tokens}) => sum + tokens, 0);
          return used <= 8_000 + BOUNDS.capacity + BOUNDS.overdraft;
        });
      },
    ),
    {seed: 26, numRuns: 300},
  );
  t.pass();
});
