import test from 'ava';
import fc from 'fast-check';

import {RequestRateLimiter} from '../../index.js';

const at = (ms: number, wallMs = ms) => ({monotonicMs: ms, wallMs});

/** Counts the granted ones of requests that arrive every `periodMs`. */
const countGranted = (
  limiter: RequestRateLimiter,
  fromMs: number,
  toMs: number,
  periodMs: number,
): number => {
  let count = 0;
  for (let ms = fromMs; ms < toMs; ms += periodMs) {
    count += limiter.tryAcquire(0, at(ms)).granted ? 1 : 0;
  }
  return count;
};

// The successor of a lost limiter granted the requests of a second at once.
test('a new limiter grants nothing until its initial debt is repaid', (t) => {
  const limiter = new RequestRateLimiter(4, at(0));
  t.is(countGranted(limiter, 0, 1_250, 10), 0);
  t.is(countGranted(limiter, 1_250, 5_250, 10), 16);
});

test('the rate holds in any window, with bursts of half a second', (t) => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 200}),
      fc.array(fc.integer({min: 0, max: 3_000}), {maxLength: 200}),
      (rate, gapsMs) => {
        const limiter = new RequestRateLimiter(rate, at(0));
        const burst = Math.max(1, rate / 2);
        const grantedMs: number[] = [];
        let nowMs = 0;
        for (const gapMs of gapsMs) {
          nowMs += gapMs;
          if (limiter.tryAcquire(0, at(nowMs)).granted) {
            grantedMs.push(nowMs);
          }
        }
        return grantedMs.every((endMs) => {
          const inWindow = grantedMs.filter(
            (ms) => ms > endMs - 4_000 && ms <= endMs,
          );
          return inWindow.length <= 4 * rate + burst;
        });
      },
    ),
    {seed: 12},
  );
  t.pass();
});

test('mandatory calls are sent in order, ahead of requests', (t) => {
  const limiter = new RequestRateLimiter(2, at(0));
  t.deepEqual(
    [1, 2, 3].map(() => limiter.reserve(at(0))),
    [1_500, 2_000, 2_500],
  );
  t.false(limiter.capacity(at(2_500)).available);
  t.true(limiter.capacity(at(3_000)).available);
});

test('a rejected, more urgent request takes precedence', (t) => {
  const limiter = new RequestRateLimiter(1, at(0));
  t.false(limiter.tryAcquire(0, at(1_900)).granted);
  t.false(limiter.tryAcquire(3, at(2_010)).granted);
  t.true(limiter.tryAcquire(0, at(2_010)).granted);
  t.true(limiter.tryAcquire(3, at(3_020)).granted);
});

test('the retry time of a rejected request includes those that wait', (t) => {
  const limiter = new RequestRateLimiter(1, at(0));
  const waits = [1, 2, 3].map(() => {
    const permit = limiter.tryAcquire(0, at(0));
    return permit.granted ? 0 : permit.retryAfterMs;
  });
  t.deepEqual(waits, [3_000, 4_000, 5_000]);
});

test('a limit of zero still permits some requests, to detect its end', (t) => {
  const limiter = new RequestRateLimiter(0, at(0));
  t.is(countGranted(limiter, 0, 40_000, 100), 9);
});

test('a step of the wall clock grants nothing', (t) => {
  const limiter = new RequestRateLimiter(1, at(0));
  t.false(limiter.tryAcquire(0, at(100, 60_000)).granted);
});
