import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

import {TimerService} from '@basilworks/daemon';
import test from 'ava';

import {UpstreamError, UpstreamPool} from '../../upstream/index.js';

const ID_HEADER = 'x-id';

interface Ended {
  readonly status: number;
  readonly body: string;
}

/** A server that answers each request with what `script` returns. */
const serve = async (
  script: (request: string, socket: Socket) => string | undefined,
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
    new TimerService(),
    () => {
      opened += 1;
    },
  );
  return {server, pool, opened: () => opened};
};

const ask = (pool: UpstreamPool, id: string): Promise<Ended | UpstreamError> =>
  new Promise((resolve) => {
    let status = 0;
    let body = '';
    const handle = pool.start(
      {
        method: 'GET',
        head: `GET /${id} HTTP/1.1\r\nHost: h\r\n\r\n`,
        body: Buffer.alloc(0),
        requestId: id,
      },
      10,
      {
        head: (head) => {
          ({status} = head);
        },
        data: (chunk) => {
          body += chunk.toString();
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
