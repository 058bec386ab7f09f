import test from 'ava';
import fastCheck from 'fast-check';

import {
  MalformedResponseError,
  type ResponseHead,
  ResponseParser,
} from '../../upstream/index.js';
import {bufferWork} from '../lib/buffer-work.js';

interface Parsed {
  readonly heads: ResponseHead[];
  readonly body: string;
  readonly ended: boolean;
  readonly rest: string;
}

/** Parses the text, fed in pieces of the given sizes. */
const parse = (
  text: string,
  sizes: readonly number[] = [],
  {method = 'GET', closes = false} = {},
): Parsed => {
  const heads: ResponseHead[] = [];
  const chunks: Buffer[] = [];
  let ended = false;
  const parser = new ResponseParser(
    {
      head: (head) => heads.push(head),
      data: (chunk) => chunks.push(Buffer.from(chunk)),
      end: () => {
        ended = true;
      },
    },
    method,
  );
  let bytes = Buffer.from(text, 'latin1');
  let rest = '';
  for (const size of [...sizes, bytes.length]) {
    const piece = bytes.subarray(0, size);
    bytes = bytes.subarray(size);
    if (parser.done) {
      rest += piece.toString('latin1');
    } else if (piece.length > 0) {
      rest += parser.feed(piece).toString('latin1');
    }
  }
  if (closes) {
    parser.connectionClosed();
  }
  return {heads, body: Buffer.concat(chunks).toString('latin1'), ended, rest};
};

const FIXED = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello';
const CHUNKED =
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n' +
  '5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: t\r\n\r\n';

test('reads a body by its length and returns the bytes that follow', (t) => {
  const parsed = parse(`${FIXED}HTTP/1.1 200`);
  t.is(parsed.body, 'hello');
  t.true(parsed.ended);
  t.is(parsed.rest, 'HTTP/1.1 200');
});

test('reads a chunked body with extensions and trailers', (t) => {
  const parsed = parse(CHUNKED);
  t.is(parsed.body, 'hello world');
  t.true(parsed.ended);
});

test('a body without a length ends when the connection closes', (t) => {
  const text = 'HTTP/1.1 200 OK\r\n\r\nhello';
  t.false(parse(text).ended);
  t.true(parse(text, [], {closes: true}).ended);
});

test('a truncated body is not complete', (t) => {
  t.false(parse(FIXED.slice(0, -1), [], {closes: true}).ended);
  t.false(parse(CHUNKED.slice(0, -2), [], {closes: true}).ended);
});

// Guards against a success with an empty or short body: a server stopped in the
// middle of the head of its answer and closed the connection.
for (const [framing, response] of [
  ['a length', FIXED],
  ['chunks', CHUNKED],
  ['neither', 'HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n'],
] as const) {
  test(`a response with ${framing} that ends within its head is not complete`, (t) => {
    const headBytes = response.indexOf('\r\n\r\n') + 4;
    for (let bytes = 0; bytes < headBytes; bytes += 1) {
      const parsed = parse(response.slice(0, bytes), [], {closes: true});
      t.deepEqual(parsed, {heads: [], body: '', ended: false, rest: ''});
    }
  });
}

test('skips informational responses', (t) => {
  const parsed = parse(`HTTP/1.1 100 Continue\r\n\r\n${FIXED}`);
  t.deepEqual(
    parsed.heads.map(({status}) => status),
    [200],
  );
});

test('responses to HEAD and 204 responses have no body', (t) => {
  t.true(parse(FIXED.slice(0, -5), [], {method: 'HEAD'}).ended);
  t.true(parse('HTTP/1.1 204 No Content\r\n\r\n').ended);
});

for (const [name, text] of [
  ['no status line', 'hello there, this is not it\r\n\r\n'],
  ['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2'],
  [
    'a length and an encoding',
    'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked',
  ],
  ['an unknown encoding', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip'],
  ['a space before the colon', 'HTTP/1.1 200 OK\r\nContent-Length : 1'],
  ['the status 000', 'HTTP/1.1 000 OK\r\nContent-Length: 1'],
  ['a status below 100', 'HTTP/1.1 099 OK\r\nContent-Length: 1'],
  ['a blank in a header name', 'HTTP/1.1 200 OK\r\na b: c'],
  ['a tab in a header name', 'HTTP/1.1 200 OK\r\na\tb: c'],
  ['a control character in a header name', 'HTTP/1.1 200 OK\r\na\x01b: c'],
  ['a header line without a name', 'HTTP/1.1 200 OK\r\n: c'],
  ['a folded header line', 'HTTP/1.1 200 OK\r\na: b\r\n c: d'],
  ['a negative length', 'HTTP/1.1 200 OK\r\nContent-Length: -1'],
] as const) {
  test(`rejects ${name}`, (t) => {
    t.throws(() => parse(`${text}\r\n\r\n`), {
      instanceOf: MalformedResponseError,
    });
  });
}

test('the result does not depend on the packet boundaries', (t) => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.constantFrom(FIXED, CHUNKED),
      fastCheck.array(fastCheck.integer({min: 1, max: 20}), {maxLength: 30}),
      (text, sizes) => {
        const whole = parse(text);
        const cut = parse(text, sizes);
        t.deepEqual(cut, whole);
      },
    ),
    {seed: 20_261_204},
  );
});

test('arbitrary bytes only cause MalformedResponseError', (t) => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(
        fastCheck.oneof(
          fastCheck.constantFrom(
            'HTTP/1.1 200 OK\r\n',
            'Content-Length: ',
            'Transfer-Encoding: chunked\r\n',
            '\r\n',
            '\r\n\r\n',
            'ffffffff',
          ),
          fastCheck.string({unit: 'binary', maxLength: 12}),
        ),
        {maxLength: 12},
      ),
      (parts) => {
        try {
          parse(parts.join(''));
        } catch (error) {
          t.true(error instanceof MalformedResponseError);
        }
      },
    ),
    {seed: 20_261_204, numRuns: 500},
  );
});

// Guards against hosts that end on a server's bytes: a control character in a
// header value was passed on, and the caller's side threw on it.
for (const [name, code] of [
  ['a NUL', 0],
  ['a control character', 1],
  ['a DEL', 127],
] as const) {
  test(`a header value with ${name} is malformed`, (t) => {
    const value = `a${String.fromCharCode(code)}b`;
    t.throws(() => parse(`HTTP/1.1 200 OK\r\nX: ${value}\r\n\r\n`), {
      instanceOf: MalformedResponseError,
    });
  });
}

test('a header value may have tabs and bytes above 0x7f', (t) => {
  const {heads} = parse('HTTP/1.1 204 No\r\nX: a\tb\xe9\r\n\r\n');
  t.deepEqual(heads[0]?.rawHeaders, ['X', 'a\tb\xe9']);
});

/** Greatest work for a byte that is fed: found, copied twice as often, read. */
const MAXIMUM_WORK = 8;

/** Beginnings of responses, each followed by `repeated` without an end. */
const UNENDING = [
  ['a head of blanks', 'HTTP/1.1 200 OK\r\nX: a', ' '],
  ['a head of short lines', 'HTTP/1.1 200 OK\r\n', 'X: a\r\n'],
  [
    'chunk extensions',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    `1;${'x'.repeat(900)}\r\nb\r\n`,
  ],
  [
    'trailers',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
    `X: ${'y'.repeat(900)}\r\n`,
  ],
] as const;

// Guards against hosts that hang on a response without end: all that was
// buffered was copied and searched again for each piece that arrived.
for (const [name, beginning, repeated] of UNENDING) {
  test(`${name}, byte by byte, are read in linear time`, (t) => {
    const {length} = repeated;
    const text = Buffer.from(beginning + repeated.repeat(60_000 / length));
    const observer = {head: () => 0, data: () => 0, end: () => 0};
    const parser = new ResponseParser(observer, 'GET');
    const work = bufferWork(() => {
      for (let index = 0; index < text.length; index += 1) {
        parser.feed(text.subarray(index, index + 1));
      }
    });
    t.true(work < MAXIMUM_WORK * text.length, `${work} bytes of work`);
  });
}

// Guards against hosts that hang on a run of blanks within a header value: the
// expression that trimmed it tried each of them as the end of the value.
test('blanks within a header value are kept, those around it are not', (t) => {
  const value = `a${' '.repeat(60_000)}b`;
  const {heads} = parse(`HTTP/1.1 204 No\r\nX: \t ${value}\t \r\n\r\n`);
  t.deepEqual(heads[0]?.rawHeaders, ['X', value]);
});

// Guards against heads of thousands of short lines, which cost some twenty times
// their bytes for as long as their requests last.
test('a head has a bounded number of lines', (t) => {
  const head = (lines: number) =>
    `HTTP/1.1 200 OK\r\n${'ab: cd\r\n'.repeat(lines)}\r\n`;
  t.is(parse(head(100)).heads.length, 1);
  t.throws(() => parse(head(7_000)), {instanceOf: MalformedResponseError});
  const trailers = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n`;
  t.throws(() => parse(trailers + 'ab: cd\r\n'.repeat(12_000)), {
    instanceOf: MalformedResponseError,
  });
});
