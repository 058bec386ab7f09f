import test from 'ava';
import fc from 'fast-check';

import {PrefillPace, PrefillQueue, PromptReports} from '../../index.js';

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

const prompt = (id: string, tokens: number, overrides = {}) => ({
  id,
  tokens,
  priority: 0,
  onTimeWithinMs: 1_000,
  ...overrides,
});

/** A pace with a limit of 100 ms, or 2,000 tokens at the assumed speed. */
const limitedPace = (): PrefillPace => {
  const pace = new PrefillPace();
  const gap = {gapMs: 150, targetMs: 125};
  for (const host of ['a', 'b']) {
    pace.recordGap(gap, {server: 's', host, busyMs: 0}, at(0));
  }
  return pace;
};

test('all prompts go at once without a limit', (t) => {
  const queue = new PrefillQueue(new PrefillPace());
  queue.add(prompt('a', 50_000), at(0));
  queue.add(prompt('b', 50_000), at(0));
  t.deepEqual(queue.release(at(0)), ['a', 'b']);
  t.is(queue.nextMs(at(0)), undefined);
});

// Two prompts in one step and a third in the next would be one gap for the
// running streams, although the first two had been read.
test('a prompt beyond the limit goes when the busy period has ended', (t) => {
  const queue = new PrefillQueue(limitedPace());
  for (const id of ['a', 'b', 'c']) {
    queue.add(prompt(id, 900), at(0));
  }
  t.deepEqual(queue.release(at(0)), ['a', 'b']);
  t.deepEqual(queue.release(at(20)), []);
  t.is(queue.expectedWaitMs({priority: 0}, at(20)), 35);
  queue.recordPrefilled('a', 60, at(60));
  t.deepEqual(queue.release(at(60)), []);
  queue.recordPrefilled('b', 90, at(90));
  t.deepEqual(queue.release(at(90)), []);
  t.is(queue.nextMs(at(90)), 10);
  t.deepEqual(queue.release(at(100)), ['c']);
});

test('a prompt above the limit goes alone', (t) => {
  const queue = new PrefillQueue(limitedPace());
  queue.add(prompt('large', 9_000), at(0));
  queue.add(prompt('small', 100), at(0));
  t.deepEqual(queue.release(at(0)), ['large']);
  queue.recordPrefilled('large', 450, at(450));
  t.deepEqual(queue.release(at(460)), ['small']);
});

test('prompts that can be on time go first, then by priority', (t) => {
  const queue = new PrefillQueue(limitedPace());
  queue.add(prompt('busy', 2_000), at(0));
  t.deepEqual(queue.release(at(0)), ['busy']);
  queue.add(prompt('late', 2_000, {onTimeWithinMs: 10}), at(0));
  queue.add(prompt('lower', 2_000, {priority: 1}), at(0));
  queue.add(prompt('relaxed', 2_000), at(0));
  queue.add(prompt('urgent', 2_000, {onTimeWithinMs: 500}), at(0));
  const order: string[] = [];
  ['busy', 'urgent', 'relaxed', 'lower'].forEach((id, index) => {
    queue.recordPrefilled(id, 100, at(20 * index + 20));
    order.push(...queue.release(at(20 * index + 30)));
  });
  t.deepEqual(order, ['urgent', 'relaxed', 'lower', 'late']);
});

// The host that sent the prompt, or its report, may be lost.
test('a prompt whose end is never reported stops to count', (t) => {
  const queue = new PrefillQueue(limitedPace());
  queue.add(prompt('lost', 2_000), at(0));
  queue.add(prompt('next', 2_000), at(0));
  t.deepEqual(queue.release(at(0)), ['lost']);
  const nextMs = queue.nextMs(at(0)) ?? Infinity;
  t.true(nextMs <= 1_000);
  t.deepEqual(queue.release(at(nextMs)), []);
  t.deepEqual(queue.release(at(nextMs + 10)), ['next']);
});

test('withdrawn prompts neither wait nor count', (t) => {
  const queue = new PrefillQueue(limitedPace());
  queue.add(prompt('sent', 2_000), at(0));
  t.deepEqual(queue.release(at(0)), ['sent']);
  queue.add(prompt('waiting', 2_000), at(0));
  queue.withdraw('waiting', at(0));
  queue.withdraw('sent', at(0));
  t.is(queue.workMs(at(0)), 0);
  t.is(queue.nextMs(at(0)), undefined);
});

test('each prompt is released once, and none waits forever', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          tokens: fc.integer({min: 0, max: 20_000}),
          afterMs: fc.integer({min: 0, max: 200}),
          read: fc.boolean(),
        }),
        {maxLength: 40},
      ),
      (arrivals) => {
        const queue = new PrefillQueue(limitedPace());
        const released: string[] = [];
        let now = 0;
        const release = () => {
          const ids = queue.release(at(now));
          released.push(...ids);
          for (const id of ids) {
            if (arrivals[Number(id)]?.read === true) {
              queue.recordPrefilled(id, 10, at(now));
            }
          }
        };
        arrivals.forEach(({tokens, afterMs}, index) => {
          now += afterMs;
          queue.add(prompt(String(index), tokens), at(now));
          release();
        });
        for (let wait = queue.nextMs(at(now)); wait !== undefined;) {
          now += wait;
          release();
          wait = queue.nextMs(at(now));
        }
        t.deepEqual(
          [...released].sort((one, other) => Number(one) - Number(other)),
          arrivals.map((_arrival, index) => String(index)),
        );
      },
    ),
    {seed: 1, numRuns: 200},
  );
});

test('a gap that one host alone sees sets no limit', (t) => {
  const pace = new PrefillPace();
  const observation = {server: 's', host: 'a', busyMs: 0};
  for (let now = 0; now < 5_000; now += 100) {
    pace.recordGap({gapMs: 400, targetMs: 300}, observation, at(now));
  }
  t.is(pace.limitMs, undefined);
});

test('gaps on other servers in between do not delay the limit', (t) => {
  const pace = new PrefillPace();
  const gap = {gapMs: 150, targetMs: 125};
  const observe = (server: string, host: string, ms: number) => {
    pace.recordGap(gap, {server, host, busyMs: 0}, at(ms));
  };
  observe('s', 'a', 0);
  observe('other', 'c', 10);
  t.is(pace.limitMs, undefined);
  observe('s', 'b', 20);
  t.is(pace.limitMs, 100);
});

test('work of an earlier busy period explains no later gap', (t) => {
  const queue = new PrefillQueue(limitedPace());
  queue.add(prompt('a', 1_900), at(0));
  queue.release(at(0));
  t.is(queue.recentBusyMs(at(100)), 95);
  queue.recordPrefilled('a', 110, at(110));
  t.is(queue.recentBusyMs(at(300)), 95);
  t.is(queue.recentBusyMs(at(2_000)), 0);
});

test('gaps that prompts do not explain leave the limit', (t) => {
  const pace = limitedPace();
  const long = {gapMs: 150, targetMs: 125};
  const observation = {server: 's', host: 'a', busyMs: 5};
  pace.recordGap(long, observation, at(2_000));
  t.is(pace.limitMs, 100);
  // A single large prompt, which no limit would make smaller.
  pace.recordGap(long, {...observation, busyMs: 140}, at(2_000));
  t.is(pace.limitMs, 100);
  pace.recordGap(long, {...observation, busyMs: 100}, at(2_000));
  t.is(Math.round(pace.limitMs ?? 0), 75);
});

test('a limit that is not needed any more is lifted', (t) => {
  const pace = limitedPace();
  let now = 0;
  while (pace.limitMs !== undefined && now < 60_000) {
    now += 100;
    pace.recordWait(at(now));
  }
  t.true(now < 15_000, String(now));
});

test('a host adopts the limit of others, unless it has just lifted its own', (t) => {
  const learned = {limitMs: 180, targetMs: 250};
  const starting = new PrefillPace();
  starting.adopt(learned, at(0));
  t.deepEqual(starting.prefillLimit, learned);
  starting.adopt({limitMs: 90, targetMs: 250}, at(10));
  t.is(starting.limitMs, 180);
  let now = 0;
  while (starting.limitMs !== undefined && now < 60_000) {
    now += 100;
    starting.recordWait(at(now));
  }
  starting.adopt(learned, at(now + 1_000));
  t.is(starting.limitMs, undefined);
  starting.adopt(learned, at(now + 40_000));
  t.is(starting.limitMs, 180);
});

test('reports carry the longest close gap of each server', (t) => {
  let scheduled = 0;
  const reports = new PromptReports(() => {
    scheduled += 1;
  });
  const gap = (server: string, gapMs: number) => ({
    server,
    gapMs,
    targetMs: 100,
  });
  reports.recordGap(gap('a', 80));
  reports.recordGap(gap('a', 120));
  reports.recordGap(gap('a', 90));
  reports.recordGap(gap('b', 30));
  const prefilled = {server: 'a', requestId: 'r', prefillMs: 40};
  reports.recordPrefilled(prefilled);
  t.is(scheduled, 1);
  t.deepEqual(reports.take(), {prefilled: [prefilled], gaps: [gap('a', 120)]});
  t.deepEqual(reports.take(), {prefilled: [], gaps: []});
});
