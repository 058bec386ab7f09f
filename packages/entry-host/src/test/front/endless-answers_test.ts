import test from 'ava';

import {AVAILABLE_BYTES, SMALL_MACHINE_MB, usedBytes} from '../lib/memory.js';
import {
  type CallerExchange,
  ROUTE,
  settle,
  SlowCallerHarness,
} from './slow-caller-harness.js';

/**
 * Starts requests whose answers stop before their end, and returns how much
 * memory they need.
 */
const holdAnswers = async (
  harness: SlowCallerHarness,
  count: number,
  route: Partial<typeof ROUTE>,
): Promise<{bytes: number; exchanges: readonly CallerExchange[]}> => {
  const before = usedBytes();
  let peak = before;
  const exchanges: CallerExchange[] = [];
  for (let index = 0; index < count; index += 1) {
    const exchange = harness.startExchange(`r${index}`, {...ROUTE, ...route});
    exchange.caller.acceptBytes(Infinity);
    exchanges.push(exchange);
    await settle(harness);
    peak = Math.max(peak, usedBytes());
  }
  return {bytes: peak - before, exchanges};
};

// Guards against answers in tiny pieces, which cost a hundred times the memory
// that was counted for them.
for (const [name, status] of [
  ['an answer', 200],
  ['a failure', 500],
] as const) {
  test.serial(
    `${name} in tiny pieces costs little more than its bytes`,
    async (t) => {
      const harness = new SlowCallerHarness(SMALL_MACHINE_MB, 60_000, {
        status,
        pieceBytes: 1,
        isUnfinished: true,
      });
      const {bytes} = await holdAnswers(harness, 100, {kind: 'idempotent'});
      t.log(`${Math.round(bytes / 1_000_000)} MB`);
      t.true(bytes < AVAILABLE_BYTES);
      harness.close();
    },
  );
}

// Guards against hundreds of events that have no end: each was within its bound,
// and nothing counted them together.
test.serial(
  'hundreds of unfinished events stay within the buffer limit',
  async (t) => {
    const harness = new SlowCallerHarness(SMALL_MACHINE_MB, 1_000_000, {
      status: 200,
      pieceBytes: 50_000,
      isUnfinished: true,
    });
    const {bytes, exchanges} = await holdAnswers(harness, 400, {
      kind: 'stream',
      resumable: true,
      maximumAttempts: 1,
    });
    t.log(`${Math.round(bytes / 1_000_000)} MB`);
    t.true(bytes < AVAILABLE_BYTES);
    t.true(harness.budget.bytes <= harness.limitBytes);
    t.true(exchanges.some(({source}) => source?.cancelled === false));
    harness.close();
  },
);
