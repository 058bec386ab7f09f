import test from 'ava';

import {
  type CallerRequest,
  endToEndHeaders,
  EventSplitter,
  serializeRequestHead,
} from '../../front/index.js';
import type {HeaderNames} from '../../ports.js';
import {HEADER_NAMES} from './header-names.js';

const NAMES: HeaderNames = {
  ...HEADER_NAMES,
  expectServer: 'X-Expect-Server',
  reserved: ['X-Hold'],
};

const request = (rawHeaders: readonly string[]): CallerRequest => ({
  id: 'r1',
  method: 'POST',
  target: '/a/b?c=%20d',
  host: 'site.example',
  rawHeaders,
  body: Buffer.from('hello'),
  arrivedAt: {monotonicMs: 0, wallMs: 0},
  callerTimeoutMs: 1_000,
  model: undefined,
});

const details = {
  serverId: 's1',
  remainingMs: 812.7,
  version: undefined,
  priority: 2,
  lastEventId: undefined,
};

test('removes hop-by-hop headers and those nominated by Connection', (t) => {
  const kept = endToEndHeaders(
    ['Connection', 'close, X-Private', 'x-private', '1', 'X-Other', '2'],
    new Set(),
  );
  t.deepEqual(kept, ['X-Other', '2']);
});

test('a caller cannot set headers reserved for entry hosts', (t) => {
  const head = serializeRequestHead(
    request(['Host', 'site.example', 'X-Hold', 'h', 'X-Expect-Server', 'x']),
    NAMES,
    details,
  );
  t.false(head.includes('X-Hold'));
  t.is(head.match(/X-Expect-Server: s1/g)?.length, 1);
  t.false(head.includes('X-Expect-Server: x\r\n'));
});

test('forwards the target unchanged and the remaining time', (t) => {
  const head = serializeRequestHead(
    request(['Host', 'site.example', 'X-Deadline', '1000']),
    NAMES,
    details,
  );
  t.true(
    head.startsWith('POST /a/b?c=%20d HTTP/1.1\r\nHost: site.example\r\n'),
  );
  t.true(head.includes('X-Deadline: 812\r\n'));
  t.false(head.includes('X-Deadline: 1000'));
  t.true(head.endsWith('Content-Length: 5\r\n\r\n'));
});

test('a resumed stream sends the id of the last event received', (t) => {
  const head = serializeRequestHead(request(['Last-Event-Id', '2']), NAMES, {
    ...details,
    lastEventId: '7',
  });
  t.is(head.match(/Last-Event-Id: /g)?.length, 1);
  t.true(head.includes('Last-Event-Id: 7\r\n'));
});

test('splits a stream into complete events', (t) => {
  const splitter = new EventSplitter();
  t.deepEqual(splitter.feed(Buffer.from('id: 1\ndata: a')), []);
  const events = splitter.feed(Buffer.from('\n\nid: 2\ndata: b\n\nid: 3'));
  t.deepEqual(
    events.map(({id}) => id),
    ['1', '2'],
  );
  t.is(
    Buffer.concat(events.map(({bytes}) => bytes)).toString(),
    'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
  );
  splitter.reset();
  t.is(splitter.pendingBytes, 0);
});

test('events whose lines end in CR LF are split, however they arrive', (t) => {
  const stream = 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3\r\n';
  for (let size = 1; size <= stream.length; size += 1) {
    const splitter = new EventSplitter();
    const ids: (string | undefined)[] = [];
    for (let start = 0; start < stream.length; start += size) {
      const chunk = Buffer.from(stream.slice(start, start + size));
      ids.push(...splitter.feed(chunk).map(({id}) => id));
    }
    t.deepEqual(ids, ['1', '2']);
    t.is(splitter.pendingBytes, 'id: 3\r\n'.length);
  }
});
