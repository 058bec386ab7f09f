import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

import {TimerService} from '@basilworks/daemon';
import test from 'ava';

import {
  dialDirectly,
  type ExchangeHandle,
  UpstreamError,
  UpstreamPool,
  type UpstreamRequest,
} from '../../upstream/index.js';

import {VirtualTime, VirtualTimers} from '../views/virtual-time.js';

const ID_HEADER = 'x-id';

interface ReceivedResponse {
  readonly status: number;
  readonly body: string;
}

/** Starts a server that responds to each request with what `script` returns. */
const serve = async (
  script: (request: string, socket: Socket) => string | undefined,
  timers = new TimerService(),
): Promise<{server: Server; pool: UpstreamPool; opened: () => number}> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const response = script(bytes.toString('latin1'), socket);
      if (response !== undefined) {
        socket.write(response);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  let opened = 0;
  const dial = dialDirectly({host: '127.0.0.1', port}, timers);
  const pool = new UpstreamPool({any: dial, direct: dial}, ID_HEADER, () => {
    opened += 1;
  });
  return {server, pool, opened: () => opened};
};

const send = (
  pool: UpstreamPool,
  id: string,
  options: Partial<UpstreamRequest> = {},
  onData: (handle: ExchangeHandle) => void = () => undefined,
): Promise<ReceivedResponse | UpstreamError> =>
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

const responseTo = (id: string, body = id): string =>
  `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\n` +
  `Content-Length: ${body.length}\r\n\r\n${body}`;

const idOf = (request: string): string =>
  /^GET \/(\S+)/.exec(request)?.[1] ?? '';

test('reuses a connection for the next request', async (t) => {
  const {server, pool, opened} = await serve((request) =>
    responseTo(idOf(request)),
  );
  t.like(await send(pool, 'one'), {status: 200, body: 'one'});
  t.like(await send(pool, 'two'), {body: 'two'});
  t.is(opened(), 1);
  pool.close();
  server.close();
});

// Guards against a socket that stays paused: if the last bytes of a response
// arrive while its caller is slow, the next request gets no response.
test('a connection that was paused is resumed for the next request', async (t) => {
  const {server, pool, opened} = await serve((request) =>
    responseTo(idOf(request)),
  );
  await send(pool, 'one', {}, (handle) => {
    handle.pause();
  });
  t.like(await send(pool, 'two'), {body: 'two'});
  t.is(opened(), 1);
  pool.close();
  server.close();
});

test('a connection whose server has not read the body is not reused', async (t) => {
  const sockets: Socket[] = [];
  const ignore = () => undefined;
  const {server, pool, opened} = await serve(
    (request, socket) => {
      sockets.push(socket.pause());
      return responseTo(idOf(request));
    },
    new VirtualTimers(new VirtualTime(), ignore),
  );
  const body = Buffer.alloc(16 * 1_048_576);
  t.like(await send(pool, 'one', {body}), {body: 'one'});
  t.like(await send(pool, 'two'), {body: 'two'});
  t.is(opened(), 2);
  for (const socket of sockets) {
    socket.destroy();
  }
  pool.close();
  server.close();
});

test('skips a late duplicate response to an earlier request', async (t) => {
  const {server, pool} = await serve((request) => {
    const id = idOf(request);
    return id === 'two'
      ? responseTo('one', 'again') + responseTo('two')
      : responseTo(id);
  });
  await send(pool, 'one');
  t.like(await send(pool, 'two'), {body: 'two'});
  pool.close();
  server.close();
});

// Guards against reporting a request as not run while a server runs it: a
// refusal that is written once more bears the id of a request that is sent
// again.
test('a duplicate of its own refusal is not taken for the answer to a request', async (t) => {
  const requests = new Map<Socket, number>();
  const refusal = (id: string) =>
    `HTTP/1.1 503 Full\r\n${ID_HEADER}: ${id}\r\nContent-Length: 0\r\n\r\n`;
  let refused = false;
  const {server, pool} = await serve((request, socket) => {
    const id = idOf(request);
    const count = (requests.get(socket) ?? 0) + 1;
    requests.set(socket, count);
    if (!refused) {
      refused = true;
      return refusal(id);
    }
    return count > 1 ? refusal(id) + responseTo(id) : responseTo(id);
  });
  t.like(await send(pool, 'one'), {status: 503});
  t.like(await send(pool, 'one'), {status: 200, body: 'one'});
  pool.close();
  server.close();
});

test('rejects a response to another request', async (t) => {
  const {server, pool} = await serve(() => responseTo('someone-else'));
  const result = await send(pool, 'one');
  t.true(result instanceof UpstreamError);
  t.like(result, {sent: true, reason: 'malformed'});
  pool.close();
  server.close();
});

test('closes an idle connection that receives bytes', async (t) => {
  const {server, pool, opened} = await serve((request, socket) => {
    setTimeout(() => socket.write(responseTo('one', 'extra')), 5);
    return responseTo(idOf(request));
  });
  await send(pool, 'one');
  await new Promise((resolve) => setTimeout(resolve, 40));
  t.like(await send(pool, 'two'), {body: 'two'});
  t.is(opened(), 2);
  pool.close();
  server.close();
});

test('a reset after the request was sent is reported as interrupted', async (t) => {
  const {server, pool} = await serve((_request, socket) => {
    socket.resetAndDestroy();
    return undefined;
  });
  t.like(await send(pool, 'one'), {sent: true, reason: 'interrupted'});
  pool.close();
  server.close();
});

test('a refused connection reports that nothing was sent', async (t) => {
  const {server, pool} = await serve(() => undefined);
  await new Promise((resolve) => server.close(resolve));
  t.like(await send(pool, 'one'), {sent: false, reason: 'unreachable'});
  pool.close();
});

test('a truncated response fails', async (t) => {
  const {server, pool} = await serve((request, socket) => {
    socket.end(responseTo(idOf(request)).slice(0, -1));
    return undefined;
  });
  t.like(await send(pool, 'three'), {sent: true, reason: 'interrupted'});
  pool.close();
  server.close();
});

/** A response without a length, not whole. */
const unframedPart = (request: string): string =>
  `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${idOf(request)}\r\n\r\npart`;

/** More than the buffers of a connection hold. */
const LONG_UPLOAD_BYTES = 16 * 1_048_576;

for (const [what, bodyBytes] of [
  ['its last bytes are read', 0],
  ['its request is written', LONG_UPLOAD_BYTES],
] as const) {
  // Guards against a part of a response that passes for the whole (MIXED, ORDER):
  // the runtime reports a reset as the end of the stream where it finds the last
  // bytes and the reset at once.
  test(`a response without a length that is reset as ${what} fails`, async (t) => {
    const {server, pool} = await serve((request, socket) => {
      if (idOf(request) !== '') {
        socket.write(unframedPart(request));
        socket.resetAndDestroy();
      }
      return undefined;
    });
    const body = Buffer.alloc(bodyBytes);
    t.like(await send(pool, 'r', {body}), {
      sent: true,
      reason: 'interrupted',
    });
    pool.close();
    server.close();
  });
}

// Guards against the same where the server closes its half first and resets the
// connection because of the rest of the request.
test('a response that ends within its request and is reset then fails', async (t) => {
  const {server, pool} = await serve((request, socket) => {
    if (idOf(request) !== '') {
      socket.pause();
      socket.end(unframedPart(request));
      setTimeout(() => {
        socket.destroy();
      }, 100);
    }
    return undefined;
  });
  const body = Buffer.alloc(LONG_UPLOAD_BYTES);
  t.like(await send(pool, 'r', {body}), {sent: true, reason: 'interrupted'});
  pool.close();
  server.close();
});

// Guards against whole responses that fail because their servers answered before
// they had read the request.
test('a response that ends within its request is complete once that is read', async (t) => {
  const {server, pool} = await serve((request, socket) => {
    if (idOf(request) !== '') {
      socket.end(unframedPart(request));
    }
    return undefined;
  });
  const body = Buffer.alloc(LONG_UPLOAD_BYTES);
  t.like(await send(pool, 'r', {body}), {status: 200, body: 'part'});
  pool.close();
  server.close();
});

// Guards against sending to a server that started to leave while the connection
// was being opened: the state is checked again before the first byte.
test('a request that is withheld once connected is never written', async (t) => {
  const received: string[] = [];
  const {server, pool} = await serve((request) => {
    received.push(idOf(request));
    return responseTo(idOf(request));
  });
  let allowed = true;
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
        mayWrite: () => allowed,
        head: () => undefined,
        data: () => undefined,
        end: () => undefined,
        failed: resolve,
      },
    );
  });
  allowed = false;
  const error = await ended;
  t.is(error.reason, 'withheld');
  t.false(error.sent);
  t.deepEqual(await send(pool, 'next'), {status: 200, body: 'next'});
  t.deepEqual(received, ['next']);
  pool.close();
  server.close();
});

// Guards against a late duplicate response to a caller's request that is taken
// for the response to an order, which then counts as executed.
test('a call without a request id skips responses with one', async (t) => {
  const {server, pool} = await serve((request, socket) => {
    if (idOf(request) === 'order') {
      socket.write(responseTo('request'));
      return 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n';
    }
    return responseTo(idOf(request));
  });
  await send(pool, 'request');
  const own = {requestId: undefined};
  t.like(await send(pool, 'order', own), {status: 409});
  await send(pool, 'request');
  pool.close();
  server.close();
});

/** Writes pieces until the socket is closed; returns a byte counter. */
const writeEndlessly = (socket: Socket, piece: Buffer): (() => number) => {
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

/** Upper bound for the bytes read of an endless response. */
const ENDLESS_BOUND_BYTES = 8 * 1_048_576;

const HEAD = 'HTTP/1.1 200 OK\r\n';
const OWN_HEAD = `${HEAD}${ID_HEADER}: r\r\n`;

// Guards against reading an endless head or body until the request times out.
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
  test(`closes a connection on endless bytes in ${where}`, async (t) => {
    let written: () => number = () => 0;
    const {server, pool} = await serve((_request, socket) => {
      socket.write(begin);
      written = writeEndlessly(socket, Buffer.from(piece.repeat(10_000)));
      return undefined;
    });
    const result = await send(pool, 'r', {maximumBytes: 262_144});
    t.true(result instanceof UpstreamError);
    t.is(result instanceof UpstreamError ? result.reason : '', 'malformed');
    t.true(written() < ENDLESS_BOUND_BYTES, `${written()} bytes were read`);
    pool.close();
    server.close();
  });
}

// Guards against hosts that end on a server's bytes: a keep-alive timeout with
// over 308 digits was set on the socket as Infinity, which throws.
test('a connection outlives a keep-alive timeout beyond all numbers', async (t) => {
  const {server, pool, opened} = await serve((request) =>
    responseTo(idOf(request)).replace(
      '\r\n',
      `\r\nKeep-Alive: timeout=${'9'.repeat(400)}\r\n`,
    ),
  );
  t.like(await send(pool, 'one'), {status: 200, body: 'one'});
  t.like(await send(pool, 'two'), {status: 200, body: 'two'});
  t.is(opened(), 1);
  pool.close();
  server.close();
});

// Guards against hosts that end on a server's bytes: what an observer threw at
// the end of a response was caught by nobody.
test('an observer that throws at the end fails only its exchange', async (t) => {
  const {server, pool} = await serve((request) => responseTo(idOf(request)));
  const failure = await new Promise((resolve) => {
    pool.start(
      {
        method: 'GET',
        head: 'GET /one HTTP/1.1\r\nHost: h\r\n\r\n',
        body: Buffer.alloc(0),
        requestId: 'one',
      },
      10,
      {
        head: () => undefined,
        data: () => undefined,
        end: () => {
          throw new Error('unexpected');
        },
        failed: resolve,
      },
    );
  });
  t.like(failure, {name: 'UpstreamError', reason: 'malformed', sent: true});
  t.like(await send(pool, 'two'), {body: 'two'});
  pool.close();
  server.close();
});

// Guards against ids of requests, which callers choose, that are remembered for
// as long as a server keeps a connection.
test('a connection is replaced once it remembers many bytes of ids', async (t) => {
  const {server, pool, opened} = await serve((request) => {
    const id = request.split(' ')[1]?.slice(1) ?? '';
    return responseTo(id, 'body');
  });
  for (let index = 0; index < 100; index += 1) {
    await send(pool, `${index}-${'x'.repeat(2_000)}`);
  }
  t.is(opened(), 4);
  pool.close();
  server.close();
});
