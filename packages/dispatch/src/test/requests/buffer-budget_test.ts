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
  usage: BufferUsage = {
    requestBytes: 0,
    answerBytes: 0,
    pendingBytes: 0,
    movedBytes: 0,
    paused: false,
  };
  reads = 0;
  disconnectReason: DisconnectReason | undefined;
  private readonly share;

  constructor(budget: BufferBudget, atMs = 0) {
    this.share = budget.open(this, at(atMs));
  }

  update(change: Partial<BufferUsage>, atMs = 0): this {
    this.usage = {...this.usage, ...change};
    this.share.refresh(at(atMs));
    return this;
  }

  measure(): BufferUsage {
    return this.usage;
  }

  readMore(): void {
    this.reads += 1;
  }

  disconnect(reason: DisconnectReason): void {
    this.disconnectReason = reason;
  }
}

const budgetOf = (limit = LIMIT) => new BufferBudget(() => limit);

test('disconnects the caller with the most pending bytes and idle time', (t) => {
  const budget = budgetOf();
  const [moving, idle, small] = [0, 0, 0].map(() => new Caller(budget));
  moving?.update({pendingBytes: 400_000, movedBytes: 1}, 0);
  idle?.update({pendingBytes: 400_000, movedBytes: 1}, 0);
  small?.update({pendingBytes: 100_000, movedBytes: 1}, 0);
  moving?.update({movedBytes: 2}, 1_500);
  const last = new Caller(budget).update({pendingBytes: 200_000}, 1_600);
  t.is(idle?.disconnectReason, 'memory');
  t.deepEqual(
    [moving, small, last].map((caller) => caller?.disconnectReason),
    [undefined, undefined, undefined],
  );
  t.is(budget.bytes, 700_000);
});

test('callers that wait for an answer are not disconnected', (t) => {
  const budget = budgetOf();
  const waiting = new Caller(budget).update({requestBytes: 900_000});
  const slow = new Caller(budget).update({pendingBytes: 200_000});
  t.is(waiting.disconnectReason, undefined);
  t.is(slow.disconnectReason, 'memory');
});

test('rejects bodies that do not fit into the budget', (t) => {
  const budget = budgetOf();
  t.true(budget.hasRoomFor(750_000, at(0)));
  new Caller(budget).update({requestBytes: 700_000});
  t.true(budget.hasRoomFor(50_000, at(0)));
  t.false(budget.hasRoomFor(50_001, at(0)));
  t.true(budget.hasRoomFor(0, at(0)), 'a request without a body');
});

test('idle callers are disconnected to make room, active ones are not', (t) => {
  const budget = budgetOf();
  const idle = new Caller(budget).update({
    pendingBytes: 400_000,
    movedBytes: 1,
  });
  const moving = new Caller(budget).update({
    pendingBytes: 400_000,
    movedBytes: 1,
  });
  t.false(budget.hasRoomFor(100_000, at(100)), 'no caller is idle yet');
  moving.update({movedBytes: 2}, 1_900);
  t.true(budget.hasRoomFor(100_000, at(2_000)));
  t.is(idle.disconnectReason, 'memory');
  t.is(moving.disconnectReason, undefined);
});

/** Reviews every half second from `fromMs` to `toMs`. */
const reviewUntil = (budget: BufferBudget, fromMs: number, toMs: number) => {
  for (let ms = fromMs; ms <= toMs; ms += 500) {
    budget.review(at(ms));
  }
};

test('a stalled caller is disconnected, a slow one is not', (t) => {
  const budget = budgetOf();
  const gone = new Caller(budget).update({pendingBytes: 10, movedBytes: 1});
  const slow = new Caller(budget).update({pendingBytes: 10, movedBytes: 1});
  const waiting = new Caller(budget).update({requestBytes: 10});
  reviewUntil(budget, 0, 9_500);
  t.is(gone.disconnectReason, undefined);
  slow.update({movedBytes: 2}, 9_600);
  reviewUntil(budget, 10_000, 19_500);
  t.is(gone.disconnectReason, 'takes nothing');
  t.is(slow.disconnectReason, undefined);
  reviewUntil(budget, 20_000, 60_000);
  t.is(waiting.disconnectReason, undefined);
});

test('a suspended host does not count the gap as idle time', (t) => {
  const budget = budgetOf();
  const caller = new Caller(budget).update({pendingBytes: 10, movedBytes: 1});
  budget.review(at(0));
  reviewUntil(budget, 30_000, 39_500);
  t.is(caller.disconnectReason, undefined);
  reviewUntil(budget, 40_000, 40_500);
  t.is(caller.disconnectReason, 'takes nothing');
});

test('reads from a paused server before it disconnects', (t) => {
  const budget = budgetOf();
  const caller = new Caller(budget).update({pendingBytes: 10, paused: true});
  reviewUntil(budget, 0, 3_000);
  t.is(caller.reads, 3);
  caller.update({paused: false}, 3_000);
  reviewUntil(budget, 3_500, 6_000);
  t.is(caller.reads, 3);
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
      callers[caller]?.update(holding, ms);
      budget.review(at(ms));
      const held = callers
        .filter(({disconnectReason}) => disconnectReason === undefined)
        .reduce((sum, {usage: {pendingBytes}}) => sum + pendingBytes, 0);
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
