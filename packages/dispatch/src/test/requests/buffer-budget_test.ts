import test from 'ava';
import fc from 'fast-check';

import {
  BufferBudget,
  type BufferOwner,
  type BufferUsage,
  type DisconnectReason,
} from '../../requests/index.js';

const LIMIT = 1_000_000;

const at = (ms: number) => ({monotonicMs: ms, wallMs: 0});

/** A caller whose buffer usage is set by the test. */
class Caller implements BufferOwner {
  holding: BufferUsage = {
    requestBytes: 0,
    answerBytes: 0,
    pendingBytes: 0,
    movedBytes: 0,
    paused: false,
  };
  readOns = 0;
  cutFor: DisconnectReason | undefined;
  private readonly share;

  constructor(budget: BufferBudget, atMs = 0) {
    this.share = budget.open(this, at(atMs));
  }

  holds(change: Partial<BufferUsage>, atMs = 0): this {
    this.holding = {...this.holding, ...change};
    this.share.refresh(at(atMs));
    return this;
  }

  measure(): BufferUsage {
    return this.holding;
  }

  readMore(): void {
    this.readOns += 1;
  }

  disconnect(reason: DisconnectReason): void {
    this.cutFor = reason;
  }
}

const budgetOf = (limit = LIMIT) => new BufferBudget(() => limit);

test('disconnects the caller with the most pending bytes and idle time', (t) => {
  const budget = budgetOf();
  const [moving, idle, small] = [0, 0, 0].map(() => new Caller(budget));
  moving?.holds({pendingBytes: 400_000, movedBytes: 1}, 0);
  idle?.holds({pendingBytes: 400_000, movedBytes: 1}, 0);
  small?.holds({pendingBytes: 100_000, movedBytes: 1}, 0);
  moving?.holds({movedBytes: 2}, 1_500);
  const last = new Caller(budget).holds({pendingBytes: 200_000}, 1_600);
  t.is(idle?.cutFor, 'memory');
  t.deepEqual(
    [moving, small, last].map((caller) => caller?.cutFor),
    [undefined, undefined, undefined],
  );
  t.is(budget.bytes, 700_000);
});

test('callers that wait for an answer are not disconnected', (t) => {
  const budget = budgetOf();
  const waiting = new Caller(budget).holds({requestBytes: 900_000});
  const slow = new Caller(budget).holds({pendingBytes: 200_000});
  t.is(waiting.cutFor, undefined);
  t.is(slow.cutFor, 'memory');
});

test('rejects bodies that do not fit into the budget', (t) => {
  const budget = budgetOf();
  t.true(budget.hasRoomFor(750_000, at(0)));
  new Caller(budget).holds({requestBytes: 700_000});
  t.true(budget.hasRoomFor(50_000, at(0)));
  t.false(budget.hasRoomFor(50_001, at(0)));
  t.true(budget.hasRoomFor(0, at(0)), 'a request without a body');
});

test('idle callers are disconnected to make room, active ones are not', (t) => {
  const budget = budgetOf();
  const idle = new Caller(budget).holds({pendingBytes: 400_000, movedBytes: 1});
  const moving = new Caller(budget).holds({
    pendingBytes: 400_000,
    movedBytes: 1,
  });
  t.false(budget.hasRoomFor(100_000, at(100)), 'no caller is idle yet');
  moving.holds({movedBytes: 2}, 1_900);
  t.true(budget.hasRoomFor(100_000, at(2_000)));
  t.is(idle.cutFor, 'memory');
  t.is(moving.cutFor, undefined);
});

/** Reviews every half second from `fromMs` to `toMs`. */
const reviewUntil = (budget: BufferBudget, fromMs: number, toMs: number) => {
  for (let ms = fromMs; ms <= toMs; ms += 500) {
    budget.review(at(ms));
  }
};

test('a stalled caller is disconnected, a slow one is not', (t) => {
  const budget = budgetOf();
  const gone = new Caller(budget).holds({pendingBytes: 10, movedBytes: 1});
  const slow = new Caller(budget).holds({pendingBytes: 10, movedBytes: 1});
  const waiting = new Caller(budget).holds({requestBytes: 10});
  reviewUntil(budget, 0, 9_500);
  t.is(gone.cutFor, undefined);
  slow.holds({movedBytes: 2}, 9_600);
  reviewUntil(budget, 10_000, 19_500);
  t.is(gone.cutFor, 'takes nothing');
  t.is(slow.cutFor, undefined);
  reviewUntil(budget, 20_000, 60_000);
  t.is(waiting.cutFor, undefined);
});

test('a suspended host does not count the gap as idle time', (t) => {
  const budget = budgetOf();
  const caller = new Caller(budget).holds({pendingBytes: 10, movedBytes: 1});
  budget.review(at(0));
  reviewUntil(budget, 30_000, 39_500);
  t.is(caller.cutFor, undefined);
  reviewUntil(budget, 40_000, 40_500);
  t.is(caller.cutFor, 'takes nothing');
});

test('reads from a paused server before it disconnects', (t) => {
  const budget = budgetOf();
  const caller = new Caller(budget).holds({pendingBytes: 10, paused: true});
  reviewUntil(budget, 0, 3_000);
  t.is(caller.readOns, 3);
  caller.holds({paused: false}, 3_000);
  reviewUntil(budget, 3_500, 6_000);
  t.is(caller.readOns, 3);
});

test('random callers never exceed the budget', (t) => {
  const seed = Number(process.env.SEED ?? Date.now() % 1_000_000);
  t.log(`seed ${seed}`);
  const step = fc.record({
    caller: fc.nat(9),
    pendingBytes: fc.nat(300_000),
    movedBytes: fc.nat(3),
    paused: fc.boolean(),
    passMs: fc.nat(3_000),
  });
  const holds = fc.property(fc.array(step, {maxLength: 60}), (steps) => {
    const budget = budgetOf();
    const callers = Array.from({length: 10}, () => new Caller(budget));
    let ms = 0;
    for (const {caller, passMs, ...holding} of steps) {
      ms += passMs;
      callers[caller]?.holds(holding, ms);
      budget.review(at(ms));
      const held = callers
        .filter(({cutFor}) => cutFor === undefined)
        .reduce((sum, {holding: {pendingBytes}}) => sum + pendingBytes, 0);
      if (held > LIMIT || budget.bytes > LIMIT || budget.bytes < held) {
        return false;
      }
    }
    return true;
  });
  t.notThrows(() => {
    fc.assert(holds, {seed, numRuns: 300});
  });
});
