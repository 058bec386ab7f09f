import test from 'ava';

import {NO_CRASH_GUARD} from '../../crashes/index.js';
import {SMALL_MACHINE_MB} from '../lib/memory.js';
import {ROUTE, settle, SlowCallerHarness} from './slow-caller-harness.js';

/** A quarantine that begins when the test says so. */
const createQuarantine = () => {
  const listeners = new Set<() => void>();
  let key: string | undefined;
  const guard = {
    ...NO_CRASH_GUARD,
    quarantined: () => key,
    onQuarantine: (listener: () => void) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
  const begin = () => {
    key = 'part/1';
    for (const listener of [...listeners]) {
      listener();
    }
  };
  return {guard, begin};
};

// Guards against a request that waits at a server and crashes it, although its
// key was known by then: only requests without a server were refused.
test('a request in quarantine is taken back from the server where it waits', async (t) => {
  const {guard, begin} = createQuarantine();
  const shape = {status: 200, pieceBytes: 100, isUnfinished: true};
  const waiting = new SlowCallerHarness(SMALL_MACHINE_MB, 0, shape, guard);
  const {caller, finished} = waiting.startExchange('r', ROUTE);
  caller.acceptBytes(Infinity);
  await settle(waiting);
  begin();
  await finished;
  t.true(waiting.sourceOf('r')?.cancelled);
  waiting.close();
});

test('a request that its server answers goes on in quarantine', async (t) => {
  const {guard, begin} = createQuarantine();
  const shape = {status: 200, pieceBytes: 100, isUnfinished: true};
  const answered = new SlowCallerHarness(SMALL_MACHINE_MB, 100, shape, guard);
  const {caller} = answered.startExchange('r', ROUTE);
  caller.acceptBytes(Infinity);
  await settle(answered);
  begin();
  await settle(answered);
  t.false(answered.sourceOf('r')?.cancelled);
  answered.close();
});
