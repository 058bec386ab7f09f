import test from 'ava';

import {EventSplitter, EventTooLongError} from '../../front/index.js';
import {bufferWork} from '../lib/buffer-work.js';

const EVENT_BYTES = 200_000;

/** Greatest work for a byte that is fed: found, copied twice as often, read. */
const MAXIMUM_WORK = 8;

const SHAPES = [
  ['without a line end', 'data: abcdefgh'],
  ['in lines without a blank one', 'data: a\n'],
  ['in lines that end in CR LF', 'data: a\r\n'],
] as const;

// Guards against hosts that hang on a stream without end: each of its chunks
// had the whole incomplete event copied and searched from its start.
for (const [name, line] of SHAPES) {
  for (const size of [1, 8, 1_000]) {
    test(`an event ${name} in chunks of ${size} is read in linear time`, (t) => {
      const text = Buffer.from(line.repeat(EVENT_BYTES / line.length));
      const chunks = Array.from(
        {length: Math.ceil(text.length / size)},
        (_unused, index) => text.subarray(index * size, (index + 1) * size),
      );
      const splitter = new EventSplitter();
      const work = bufferWork(() => {
        for (const chunk of chunks) {
          splitter.feed(chunk);
        }
      });
      t.true(work < MAXIMUM_WORK * text.length, `${work} bytes of work`);
      t.is(splitter.pendingBytes, text.length);
      const [event] = splitter.feed(Buffer.from('\n\n'));
      t.is(event?.bytes.length, text.length + (line.endsWith('\n') ? 1 : 2));
    });
  }
}

// Guards against streams that never end: an event over the limit was discarded
// and the next one buffered.
test('an event that is too long is an error', (t) => {
  const splitter = new EventSplitter();
  const chunk = Buffer.alloc(65_536, 'a');
  t.throws(
    () => {
      for (let index = 0; index < 17; index += 1) {
        splitter.feed(chunk);
      }
    },
    {instanceOf: EventTooLongError},
  );
});

// Guards against requests that are smuggled into a server's connection: the id
// of an event goes into the head of the request that resumes its stream, where
// U+010D and U+010A became CR and LF.
test('an id is the same bytes in the head of the next request', (t) => {
  const id = Buffer.from('7\u010d\u010aX: y');
  const [event] = new EventSplitter().feed(
    Buffer.concat([Buffer.from('id: '), id, Buffer.from('\ndata: a\n\n')]),
  );
  const written = Buffer.from(event?.id ?? '', 'latin1');
  t.deepEqual(written, id);
  t.false(written.includes('\n'));
});
