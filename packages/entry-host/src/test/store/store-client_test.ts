import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';

import {TimerService} from '@basilworks/daemon';
import test, {type ExecutionContext} from 'ava';

import {type StoreCall, StoreClient} from '../../index.js';

const CALL: StoreCall = {method: 'GET', path: '/x', timeoutMs: 20_000};

/** Starts a store that handles every call with `answer`. */
const serve = async (t: ExecutionContext, answer: RequestListener) => {
  const server = createServer(answer);
  let connections = 0;
  server.on('connection', () => {
    connections += 1;
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  const client = new StoreClient(`127.0.0.1:${port}`, new TimerService());
  return {client, server, connections: () => connections};
};

const failureOf = async (client: StoreClient, call: Partial<StoreCall> = {}) =>
  (await client.run({...CALL, ...call}))._unsafeUnwrapErr().failure;

test('calls return complete responses over one persistent connection', async (t) => {
  const {client, connections} = await serve(t, (request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      response.writeHead(409).write(`${request.method} ${request.url} `);
      response.end(body);
    });
  });
  const put: StoreCall = {...CALL, method: 'PUT', body: {name: 'é'}};
  for (const call of [put, CALL, {...CALL, method: 'DELETE'}] as const) {
    const {status, text} = (await client.run(call))._unsafeUnwrap();
    t.is(status, 409);
    const sent = call.body === undefined ? '' : JSON.stringify(call.body);
    t.is(text, `${call.method} /x ${sent}`);
  }
  t.is(connections(), 1);
});

test('a call without a complete response may have reached the store', async (t) => {
  const reset = await serve(t, (request) => request.socket.destroy());
  t.is(await failureOf(reset.client), 'missing');
  const truncated = await serve(t, (_request, response) => {
    response.writeHead(200, {'content-length': 9}).write('half', () => {
      response.destroy();
    });
  });
  t.is(await failureOf(truncated.client), 'missing');
  const silent = await serve(t, () => undefined);
  t.is(await failureOf(silent.client, {timeoutMs: 300}), 'missing');
});

test('a call that never connected did not reach the store', async (t) => {
  // Nothing listens on this port.
  const client = new StoreClient('127.0.0.1:1', new TimerService());
  t.is(await failureOf(client), 'refused');
});

// Guards against a store whose answer has no end: it was kept until the call
// timed out, and the host ran out of memory.
test('an answer without end is given up at a bound', async (t) => {
  const mebibyte = 1_048_576;
  let writtenBytes = 0;
  const {client} = await serve(t, (_request, response) => {
    const piece = Buffer.alloc(mebibyte / 16, 'x');
    const write = () => {
      while (!response.destroyed && writtenBytes < 200 * mebibyte) {
        writtenBytes += piece.length;
        if (!response.write(piece)) {
          response.once('drain', write);
          return;
        }
      }
      response.end();
    };
    write();
  });
  t.is(await failureOf(client), 'too-large');
  t.true(writtenBytes < 40 * mebibyte);
});
