import test from 'ava';
import fc from 'fast-check';

import {type ServerNotice, ServerNotices} from '../../index.js';

const at = (ms: number, wallMs = ms) => ({monotonicMs: ms, wallMs});

const NOTHING: ServerNotice = {
  leaving: false,
  pauseMs: undefined,
  requestsPerSecond: undefined,
};

const limit = (requestsPerSecond: number): ServerNotice => ({
  ...NOTHING,
  requestsPerSecond,
});

test('a limit holds until the response to a later request has none', (t) => {
  const notices = new ServerNotices();
  t.true(notices.apply(limit(5), at(0), at(100)));
  t.is(notices.requestsPerSecond, 5);
  t.false(notices.apply(NOTHING, at(50), at(150)), 'order unknown');
  t.is(notices.requestsPerSecond, 5);
  t.true(notices.apply(NOTHING, at(200), at(250)));
  t.is(notices.requestsPerSecond, undefined);
});

// Continuously overlapping responses kept a limit in force after its end.
test('a limit ends even if responses overlap all the time', (t) => {
  const notices = new ServerNotices();
  notices.apply(limit(5), at(0), at(100));
  for (let sentMs = 20; sentMs <= 100; sentMs += 20) {
    notices.apply(NOTHING, at(sentMs), at(sentMs + 100));
  }
  t.is(notices.requestsPerSecond, undefined);
});

test('of responses in unknown order the stricter limit wins', (t) => {
  const report = fc.record({
    rate: fc.option(fc.integer({min: 1, max: 9}), {nil: undefined}),
    sentMs: fc.integer({min: 0, max: 50}),
    tookMs: fc.integer({min: 51, max: 99}),
  });
  fc.assert(
    fc.property(fc.array(report, {minLength: 1, maxLength: 6}), (reports) => {
      const notices = new ServerNotices();
      for (const {rate, sentMs, tookMs} of reports) {
        notices.applyRateLimit({
          requestsPerSecond: rate,
          after: at(sentMs),
          before: at(sentMs + tookMs),
        });
      }
      const strictest = Math.min(...reports.map(({rate}) => rate ?? Infinity));
      return (notices.requestsPerSecond ?? Infinity) === strictest;
    }),
    {seed: 11},
  );
  t.pass();
});

test('a pause lasts as requested, whatever the wall clock does', (t) => {
  const notices = new ServerNotices();
  t.true(notices.apply({...NOTHING, pauseMs: 2_000}, at(0), at(0)));
  t.false(notices.apply({...NOTHING, pauseMs: 500}, at(100), at(100)));
  t.true(notices.refuses(at(1_900, 9_000)));
  t.false(notices.refuses(at(2_000)));
});

test('an instance that reported leaving accepts no more requests', (t) => {
  const notices = new ServerNotices();
  t.true(notices.apply({...NOTHING, leaving: true}, at(0), at(10)));
  t.false(notices.apply(NOTHING, at(20), at(30)));
  t.true(notices.refuses(at(60_000)));
});
