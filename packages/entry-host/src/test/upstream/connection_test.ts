import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

import {TimerService} from '@basilworks/daemon';
import test from 'ava';

import {
  type ExchangeHandle,
  UpstreamError,
  UpstreamPool,
  type UpstreamRequest,
} from '../../upstream/index.js';

import {VirtualTime, VirtualTimers} from '../views/virtual-time.js';

const ID_HEADER = 'x-id';

interface Ended {
  readonly status: number;
  readonly body: string;
}

/** A server that answers each request with what `script` returns. */
const serve = async (
  script: (request: string, socket: Socket) => string | undefined,
  timers = new TimerService(),
): Promise<{server: Server; pool: UpstreamPool; opened: () => number}> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const answer = script(bytes.toString('latin1'), socket);
      if (answer !== undefined) {
        socket.write(answer);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  let opened = 0;
  const pool = new UpstreamPool(
    {host: '127.0.0.1', port},
    ID_HEADER,
    timers,
    () => {
      opened += 1;
    },
  );
  return {server, pool, opened: () => opened};
};

const ask = (
  pool: UpstreamPool,
  id: string,
  options: Partial<UpstreamRequest> = {},
  onData: (handle: ExchangeHandle) => void = () => undefined,
): Promise<Ended | UpstreamError> =>
  new Promise((resolve) => {
    let status = 0;
    let body = '';
    const handle = pool.start(
      {
        method: 'GET',
        head: `GET /${id} HTTP/1.1\r\nHost: h\r\n\r\n`,
        body: Buffer.alloc(0),
        requestId: id,
        ...options,
      },
      10,
      {
        head: (head) => {
          ({status} = head);
        },
        data: (chunk) => {
          body += chunk.toString();
          if (!(handle instanceof UpstreamError)) {
            onData(handle);
          }
        },
        end: () => {
          resolve({status, body});
        },
        failed: resolve,
      },
    );
    if (handle instanceof UpstreamError) {
      resolve(handle);
    }
  });

const answerTo = (id: string, body = id): string =>
  `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\n` +
  `Content-Length: ${body.length}\r\n\r\n${body}`;

const idOf = (request: string): string =>
  /^GET \/(\S+)/.exec(request)?.[1] ?? '';

test('keeps a connection for the next request', async (t) => {
  const {server, pool, opened} = await serve((request) =>
    answerTo(idOf(request)),
  );
  t.like(await ask(pool, 'one'), {status: 200, body: 'one'});
  t.like(await ask(pool, 'two'), {body: 'two'});
  t.is(opened(), 1);
  pool.close();
  server.close();
});

// The last bytes of an answer came while its caller was slow, and the next
// request on the connection was never answered.
test('a connection that was held back is read for the next request', async (t) => {
  const {server, pool, opened} = await serve((request) =>
    answerTo(idOf(request)),
  );
  await ask(pool, 'one', {}, (handle) => {
    handle.pause();
  });
  t.like(await ask(pool, 'two'), {body: 'two'});
  t.is(opened(), 1);
  pool.close();
  server.close();
});

test('a connection whose server has not read a body is not kept', async (t) => {
  const sockets: Socket[] = [];
  const ignore = () => undefined;
  const {server, pool, opened} = await serve(
    (request, socket) => {
      sockets.push(socket.pause());
      return answerTo(idOf(request));
    },
    new VirtualTimers(new VirtualTime(), ignore),
  );
  const body = Buffer.alloc(16 * 1_048_576);
  t.like(await ask(pool, 'one', {body}), {body: 'one'});
  t.like(await ask(pool, 'two'), {body: 'two'});
  t.is(opened(), 2);
  for (const socket of sockets) {
    socket.destroy();
  }
  pool.close();
  server.close();
});

test('passes over a late second answer to an earlier request', async (t) => {
  const {server, pool} = await serve((request) => {
    const id = idOf(request);
    return id === 'two'
      ? answerTo('one', 'again') + answerTo('two')
      : answerTo(id);
  });
  await ask(pool, 'one');
  t.like(await ask(pool, 'two'), {body: 'two'});
  pool.close();
  server.close();
});

test('never gives an answer to another request', async (t) => {
  const {server, pool} = await serve(() => answerTo('someone-else'));
  const ended = await ask(pool, 'one');
  t.true(ended instanceof UpstreamError);
  t.like(ended, {sent: true, reason: 'malformed'});
  pool.close();
  server.close();
});

test('closes a connection on which bytes arrive unasked', async (t) => {
  const {server, pool, opened} = await serve((request, socket) => {
    setTimeout(() => socket.write(answerTo('one', 'extra')), 5);
    return answerTo(idOf(request));
  });
  await ask(pool, 'one');
  await new Promise((resolve) => setTimeout(resolve, 40));
  t.like(await ask(pool, 'two'), {body: 'two'});
  t.is(opened(), 2);
  pool.close();
  server.close();
});

test('a reset after the request was sent leaves it open', async (t) => {
  const {server, pool} = await serve((_request, socket) => {
    socket.resetAndDestroy();
    return undefined;
  });
  t.like(await ask(pool, 'one'), {sent: true, reason: 'interrupted'});
  pool.close();
  server.close();
});

test('a refused connection proves that nothing was sent', async (t) => {
  const {server, pool} = await serve(() => undefined);
  await new Promise((resolve) => server.close(resolve));
  t.like(await ask(pool, 'one'), {sent: false, reason: 'unreachable'});
  pool.close();
});

test('an answer that is cut short fails', async (t) => {
  const {server, pool} = await serve((request, socket) => {
    socket.end(answerTo(idOf(request)).slice(0, -1));
    return undefined;
  });
  t.like(await ask(pool, 'three'), {sent: true, reason: 'interrupted'});
  pool.close();
  server.close();
});

// Requests reached a server that had begun to leave while a connection to it was
// opened: nothing looked at it again before the first byte.
test('a request that is not wanted any more once connected never leaves', async (t) => {
  const received: string[] = [];
  const {server, pool} = await serve((request) => {
    received.push(idOf(request));
    return answerTo(idOf(request));
  });
  let wanted = true;
  const ended = new Promise<UpstreamError>((resolve) => {
    pool.start(
      {
        method: 'GET',
        head: 'GET /late HTTP/1.1\r\nHost: h\r\n\r\n',
        body: Buffer.alloc(0),
        requestId: 'late',
      },
      10,
      {
        mayWrite: () => wanted,
        head: () => undefined,
        data: () => undefined,
        end: () => undefined,
        failed: resolve,
      },
    );
  });
  wanted = false;
  const error = await ended;
  t.is(error.reason, 'withheld');
  t.false(error.sent);
  t.deepEqual(await ask(pool, 'next'), {status: 200, body: 'next'});
  t.deepEqual(received, ['next']);
  pool.close();
  server.close();
});

// A late second answer to a caller's request was taken for the answer to an order,
// which then counted as carried out.
test('a call without an identity gets no answer that names another', async (t) => {
  const {server, pool} = await serve((request, socket) => {
    if (idOf(request) === 'order') {
      socket.write(answerTo('request'));
      return 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n';
    }
    return answerTo(idOf(request));
  });
  await ask(pool, 'request');
  const own = {requestId: undefined};
  t.like(await ask(pool, 'order', own), {status: 409});
  await ask(pool, 'request');
  pool.close();
  server.close();
});

/** Writes pieces until the socket is closed; returns how many bytes went. */
const writeWithoutEnd = (socket: Socket, piece: Buffer): (() => number) => {
  let bytes = 0;
  const write = () => {
    while (!socket.destroyed) {
      bytes += piece.length;
      if (!socket.write(piece)) {
        socket.once('drain', write);
        return;
      }
    }
  };
  write();
  return () => bytes;
};

/** More than this is never read of an answer without an end, bytes. */
const ENDLESS_BOUND_BYTES = 8 * 1_048_576;

const HEAD = 'HTTP/1.1 200 OK\r\n';
const OWN_HEAD = `${HEAD}${ID_HEADER}: r\r\n`;

// Bytes without end in a head or a body were read until the request's time was over.
for (const [where, {begin, piece}] of Object.entries({
  'a status line': {begin: '', piece: 'x'},
  'a header line': {begin: `${HEAD}a: `, piece: 'x'},
  'header lines': {begin: HEAD, piece: 'a: b\r\n'},
  'informational heads': {begin: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n'},
  'a body with a length': {
    begin: `${OWN_HEAD}Content-Length: 99999999999\r\n\r\n`,
    piece: 'x',
  },
  'a body without a length': {begin: `${OWN_HEAD}\r\n`, piece: 'x'},
  'trailer lines': {
    begin: `${OWN_HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    piece: 'a: b\r\n',
  },
  chunks: {
    begin: `${OWN_HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    piece: '1\r\nx\r\n',
  },
})) {
  test(`closes a connection on bytes without end in ${where}`, async (t) => {
    let written: () => number = () => 0;
    const {server, pool} = await serve((_request, socket) => {
      socket.write(begin);
      written = writeWithoutEnd(socket, Buffer.from(piece.repeat(10_000)));
      return undefined;
    });
    const result = await ask(pool, 'r', {maximumBytes: 262_144});
    t.true(result instanceof UpstreamError);
    t.is(result instanceof UpstreamError ? result.reason : '', 'malformed');
    t.true(written() < ENDLESS_BOUND_BYTES, `${written()} bytes were read`);
    pool.close();
    server.close();
  });
}
