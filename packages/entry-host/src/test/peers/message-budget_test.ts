import type {ServerHttp2Stream} from 'node:http2';

import test from 'ava';

import {MessageBudget} from '../../peers/message-budget.js';

const LIMIT_BYTES = 100_000;

const createStream = () => {
  const stream = {
    closed: false,
    session: {
      destroy: () => {
        stream.closed = true;
      },
    },
  };
  return stream;
};

const asStream = (stream: ReturnType<typeof createStream>) =>
  stream as unknown as ServerHttp2Stream;

// Guards against pieces of a byte, which cost far more than their bytes.
test('tiny pieces count with what they cost', (t) => {
  const budget = new MessageBudget(LIMIT_BYTES);
  const stream = createStream();
  for (let piece = 0; piece < 1_000; piece += 1) {
    budget.recordPiece(asStream(stream), 1);
  }
  t.true(stream.closed);
  t.true(budget.bytes <= LIMIT_BYTES);
});

test('beyond the bound the largest message gives way', (t) => {
  const budget = new MessageBudget(LIMIT_BYTES);
  const [small, large] = [createStream(), createStream()];
  budget.recordPiece(asStream(large), 60_000);
  budget.recordPiece(asStream(small), 45_000);
  t.true(large.closed);
  t.false(small.closed);
});

test('whole messages count no longer', (t) => {
  const budget = new MessageBudget(LIMIT_BYTES);
  const stream = createStream();
  for (let message = 0; message < 10; message += 1) {
    budget.recordPiece(asStream(stream), 60_000);
    budget.release(asStream(stream));
  }
  t.false(stream.closed);
  t.is(budget.bytes, 0);
});
