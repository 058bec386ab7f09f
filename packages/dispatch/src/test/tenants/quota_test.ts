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

/** A meter whose bucket is full and that no other came before. */
const settledMeter = (bounds = BOUNDS) => {
  const meter = new QuotaMeter(bounds, at(-10_000));
  meter.answer('warm-up', ask(1), at(0));
  return meter;
};

/** One host and its meter without a network between. */
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

test('a request counts its tokens; nothing usable counts as plain', (t) => {
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

test('the parts of a tolerance make up the whole', (t) => {
  const {overdraft, capacity, overlap, burst} = BOUNDS;
  t.is(overdraft + (capacity - burst) + overlap, 4_000);
});

test('a lost, doubled or late message is counted once', (t) => {
  const meter = settledMeter();
  const first = ask(2, {needs: [400]});
  const second = ask(3, {needs: [400, 200]});
  t.is(meter.answer('h', second, at(0)).allowance, 600);
  t.is(meter.answer('h', first, at(0)).allowance, 600);
  t.is(meter.answer('h', second, at(0)).balance, 400);
  const lost = ask(4, {needs: [600]});
  t.is(meter.answer('h', lost, at(0)).allowance, 600);
});

// A host that thawed spent what its meter had given to others meanwhile.
test('an allowance runs out by the clock that went further', (t) => {
  for (const now of [
    at(ALLOWANCE_VALIDITY_MS, 0),
    at(0, ALLOWANCE_VALIDITY_MS),
  ]) {
    const account = new QuotaAccount(BOUNDS);
    exchange(account, settledMeter(), [500], 0);
    t.is(account.available(at(ALLOWANCE_VALIDITY_MS - 1)), 500);
    t.is(account.available(now), 0);
  }
});

test('what a host let run out goes back to the bucket', (t) => {
  const meter = settledMeter();
  const account = new QuotaAccount(BOUNDS);
  exchange(account, meter, [1_000], 0);
  t.is(meter.answer('i', ask(1), at(100)).balance, 100);
  t.true(exchange(account, meter, [], 2_100).balance === 1_000);
  t.is(meter.answer('j', ask(1, {needs: [1_000]}), at(2_100)).balance, 0);
});

test('tokens are given back once, and only soon', (t) => {
  const account = new QuotaAccount(BOUNDS);
  exchange(account, settledMeter(), [1_000], 0);
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

test('a host reports what may be given back as unspent', (t) => {
  const account = new QuotaAccount(BOUNDS);
  exchange(account, settledMeter(), [900], 0);
  account.trySpend(700, at(0));
  t.is(account.ask([], at(10)).spent, 0);
  t.is(account.ask([], at(BOUNDS.refundableMs)).spent, 700);
});

// Small requests took every token that came, so that large ones were served never.
test('a large request is served amid small ones', (t) => {
  for (const large of [1_000, 1_500, 2_200]) {
    const bounds = {...BOUNDS, overdraft: 1_250};
    const meter = settledMeter(bounds);
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

test('who is refused is told when there will be room for it', (t) => {
  const meter = settledMeter();
  const needs = [2_000, 500];
  const {retryAfterMs, nextMs} = meter.answer('h', ask(2, {needs}), at(0));
  t.is(nextMs, 1_000);
  t.is(retryAfterMs, 1_000);
  const later = meter.answer('i', ask(1, {needs: [100]}), at(0));
  t.is(later.retryAfterMs, 1_500);
  t.false(later.provisional);
});

test('a meter that follows another begins in debt, and says so', (t) => {
  const meter = new QuotaMeter({...BOUNDS, initialDebt: 700}, at(0));
  const early = meter.answer('h', ask(1, {needs: [10]}), at(0));
  t.like(early, {allowance: 0, provisional: true, nextMs: 700});
  const late = meter.answer('h', ask(2, {needs: [10]}), at(700));
  t.is(late.allowance, 10);
  t.false(meter.answer('h', ask(3), at(2_500)).provisional);
});

test('a quota that shrinks or grows keeps its debt in time', (t) => {
  const meter = settledMeter();
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

test('any window of one meter keeps to rate, capacity and overdraft', (t) => {
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
        const meter = settledMeter();
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
