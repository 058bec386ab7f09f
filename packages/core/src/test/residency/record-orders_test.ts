import test from 'ava';

import type {Effect} from '../../effects.js';
import {recordOrder} from '../../residency/record-orders.js';

test('an order is explained for adapter and server, and audited', (t) => {
  const effects: Effect[] = [];
  recordOrder(
    {server: 's-1', key: 'a@v2', order: 'evict', inputs: {for: 'b@v1'}},
    {
      at: {monotonicMs: 0, wallMs: 0},
      perform: (effect) => {
        effects.push(effect);
      },
      raise: () => undefined,
    },
  );
  t.like(effects, [
    {type: 'record-decision', decision: {subject: 'adapter', name: 'a@v2'}},
    {type: 'record-decision', decision: {subject: 'server', name: 's-1'}},
    {type: 'audit', entry: {action: 'adapter-evict', before: 'a@v2'}},
  ]);
});
