import test from 'ava';
import fc from 'fast-check';

import {RequestRateLimiter} from '../../index.js';

const at = (ms: number, wallMs = ms) => ({monotonicMs: ms, wallMs});

/** Requests that a meter lets go of one asked every `periodMs`. */
const granted = (
  meter: RequestRateLimiter,
  fromMs: number,
  toMs: number,
  periodMs: number,
): number => {
  let count = 0;
  for (let ms = fromMs; ms < toMs; ms += periodMs) {
    count += meter.tryAcquire(0, at(ms)).granted ? 1 : 0;
  }
  return count;
};

// A meter that followed a lost one let a second's requests go at once.
test('a new meter lets nothing go until its debt is paid', (t) => {
  const meter = new RequestRateLimiter(4, at(0));
  t.is(granted(meter, 0, 1_250, 10), 0);
  t.is(granted(meter, 1_250, 5_250, 10), 16);
});

test('a rate is kept over any time, with half a second at once', (t) => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 200}),
      fc.array(fc.integer({min: 0, max: 3_000}), {maxLength: 200}),
      (rate, gapsMs) => {
        const meter = new RequestRateLimiter(rate, at(0));
        const burst = Math.max(1, rate / 2);
        const wentMs: number[] = [];
        let nowMs = 0;
        for (const gapMs of gapsMs) {
          nowMs += gapMs;
          if (meter.tryAcquire(0, at(nowMs)).granted) {
            wentMs.push(nowMs);
          }
        }
        return wentMs.every((endMs) => {
          const inWindow = wentMs.filter(
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

test('calls that can not be left out go in turn, ahead of requests', (t) => {
  const meter = new RequestRateLimiter(2, at(0));
  t.deepEqual(
    [1, 2, 3].map(() => meter.reserve(at(0))),
    [1_500, 2_000, 2_500],
  );
  t.false(meter.capacity(at(2_500)).available);
  t.true(meter.capacity(at(3_000)).available);
});

test('a more urgent request that was turned away goes first', (t) => {
  const meter = new RequestRateLimiter(1, at(0));
  t.false(meter.tryAcquire(0, at(1_900)).granted);
  t.false(meter.tryAcquire(3, at(2_010)).granted);
  t.true(meter.tryAcquire(0, at(2_010)).granted);
  t.true(meter.tryAcquire(3, at(3_020)).granted);
});

test('who is turned away is told the time that those who wait take', (t) => {
  const meter = new RequestRateLimiter(1, at(0));
  const waits = [1, 2, 3].map(() => {
    const permit = meter.tryAcquire(0, at(0));
    return permit.granted ? 0 : permit.retryAfterMs;
  });
  t.deepEqual(waits, [3_000, 4_000, 5_000]);
});

test('a limit of nothing still lets one go, to learn of its end', (t) => {
  const meter = new RequestRateLimiter(0, at(0));
  t.is(granted(meter, 0, 40_000, 100), 9);
});

test('a step of the time of day lets nothing go', (t) => {
  const meter = new RequestRateLimiter(1, at(0));
  t.false(meter.tryAcquire(0, at(100, 60_000)).granted);
});
