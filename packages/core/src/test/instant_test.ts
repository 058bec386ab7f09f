import test from 'ava';

import {elapsedMs} from '../instant.js';

test('elapsed time is the larger of the two clocks', (t) => {
  const from = {monotonicMs: 100, wallMs: 1_000};
  t.is(elapsedMs(from, {monotonicMs: 150, wallMs: 1_020}), 50);
  t.is(elapsedMs(from, {monotonicMs: 110, wallMs: 9_000}), 8_000);
  t.is(elapsedMs(from, {monotonicMs: 130, wallMs: 500}), 30);
});
