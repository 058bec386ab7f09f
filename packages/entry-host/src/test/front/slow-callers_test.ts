import test from 'ava';

import {
  type CallerExchange,
  type CallerSocket,
  ROUTE,
  settle,
  SlowCallerHarness,
} from './slow-caller-harness.js';

const isComplete = ({received}: CallerSocket): boolean =>
  received.endsWith('\r\n0\r\n\r\n');

test('500 slow callers stay within the buffer limit; others are served', async (t) => {
  const answerBytes = 600_000;
  const harness = new SlowCallerHarness(210, answerBytes);
  // Every fifth keeps reading slowly; the others read nothing.
  const slowReaders: CallerExchange[] = [];
  const stalled: CallerExchange[] = [];
  for (let index = 0; index < 500; index += 1) {
    const exchange = harness.startExchange(`slow-${index}`, ROUTE);
    (index % 5 === 0 ? slowReaders : stalled).push(exchange);
    exchange.caller.acceptBytes(index % 5 === 0 ? 40_000 : 0);
    await settle(harness);
  }
  let peakHeldBytes = 0;
  for (let round = 0; round < 40; round += 1) {
    for (const {caller} of slowReaders) {
      caller.acceptBytes(40_000);
    }
    await harness.review();
    peakHeldBytes = Math.max(
      peakHeldBytes,
      harness.heldBytes,
      harness.budget.bytes,
    );
    const other = harness.startExchange(`other-${round}`, ROUTE, true);
    other.caller.acceptBytes(Infinity);
    await settle(harness);
    t.true(isComplete(other.caller), `request in round ${round}`);
  }
  t.log(`held at most ${peakHeldBytes} of ${harness.limitBytes}`);
  t.true(peakHeldBytes > harness.limitBytes / 2, 'the load is high enough');
  t.true(peakHeldBytes <= harness.limitBytes);
  t.true(slowReaders.every(({source}) => source?.ended));
  t.true(slowReaders.every(({caller}) => caller.receivedBytes > answerBytes));
  t.true(stalled.every(({caller}) => caller.destroyed));
  t.true(stalled.some(({source}) => source?.cancelled));
  t.is(harness.budget.bytes, 0, 'closed connections are not counted');
  harness.close();
});

test('a caller whose connection is aborted sees an incomplete answer', async (t) => {
  for (const kind of ['stream', 'idempotent'] as const) {
    const harness = new SlowCallerHarness(210, 200_000);
    const {caller, finished, source} = harness.startExchange(
      'r',
      {...ROUTE, kind},
      true,
    );
    await settle(harness);
    caller.acceptBytes(30_000);
    for (let round = 0; round < 24; round += 1) {
      await harness.review();
    }
    await finished;
    t.true(caller.destroyed);
    t.true(caller.receivedBytes > 0);
    t.false(isComplete(caller));
    t.not(source?.cancelled, false);
    harness.close();
  }
});
