import test from 'ava';

import {CLAIM_KIND, type CallDescription} from '../../calls/index.js';
import {CallWorld} from './call-world.js';

const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;

const dose = (requestId: string, idempotencyKey: string): CallDescription => ({
  requestId,
  member: 'al-hajar',
  pool: 'billing-desk',
  operation: 'dose-brine',
  idempotent: false,
  idempotencyKey,
  bodyDigest: 'digest',
});

/** Hours until the store holds no claim, in steps of ten minutes. */
const hoursUntilClean = (world: CallWorld, limitHours: number): number => {
  const startMs = world.clock.nowMs;
  while (
    world.store.all(CLAIM_KIND).length > 0 &&
    world.clock.nowMs - startMs < limitHours * HOUR_MS
  ) {
    world.wait(10 * MINUTE_MS);
    world.settle();
  }
  return (world.clock.nowMs - startMs) / HOUR_MS;
};

test('a claim is kept for 24 hours, and not much longer', (t) => {
  const world = new CallWorld(['a', 'b']);
  world.wait(2 * MINUTE_MS);
  world.settle();
  world.submit(0, dose('first', 'key-1'));
  world.settle();
  t.is(world.runs.length, 1);
  const hours = hoursUntilClean(world, 48);
  t.true(hours >= 24, `${hours} hours`);
  t.true(hours <= 36, `${hours} hours`);
});

test('a claim made before the epoch was known is kept as long', (t) => {
  const world = new CallWorld(['a']);
  world.submit(0, dose('first', 'key-1'));
  world.settle();
  const hours = hoursUntilClean(world, 48);
  t.true(hours >= 24, `${hours} hours`);
  t.true(hours <= 36, `${hours} hours`);
});

test('polling often ends no epoch early', (t) => {
  const world = new CallWorld(['a']);
  world.wait(2 * MINUTE_MS);
  world.settle();
  const before = world.store.find('call-epoch', 'current')?.value;
  t.truthy(before);
  for (let poll = 0; poll < 100; poll += 1) {
    world.clock.nowMs += 1_000;
    world.hosts[0]?.post({
      type: 'timer-fired',
      area: 'calls',
      timer: 'epoch/poll',
    });
    world.settle();
  }
  t.is(world.store.find('call-epoch', 'current')?.value, before);
});

test('clean-up stays within its rate', (t) => {
  const world = new CallWorld(['a']);
  world.wait(2 * MINUTE_MS);
  world.settle();
  for (let index = 0; index < 100; index += 1) {
    world.submit(0, dose(`request-${index}`, `key-${index}`));
    world.settle();
  }
  const before = world.store.calls.get('list') ?? 0;
  world.wait(HOUR_MS);
  world.settle();
  world.wait(HOUR_MS);
  world.settle();
  const lists = () => (world.store.calls.get('list') ?? 0) - before;
  const start = lists();
  for (let second = 0; second < 100; second += 1) {
    world.wait(1_000);
    world.settle();
  }
  t.true(lists() - start > 0);
  t.true(lists() - start <= 21, `${lists() - start} list calls in 100 s`);
});
