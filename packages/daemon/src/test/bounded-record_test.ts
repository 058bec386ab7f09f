import test from 'ava';

import {BoundedRecord} from '../lib/bounded-record.js';

test('keeps the newest entries, oldest first', (t) => {
  const record = new BoundedRecord<number>(3);
  t.deepEqual(record.list(), []);
  for (const entry of [1, 2, 3, 4, 5]) {
    record.add(entry);
  }
  t.deepEqual(record.list(), [3, 4, 5]);
});
