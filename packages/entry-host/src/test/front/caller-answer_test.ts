import {createServer, request} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import test from 'ava';

import {CallerAnswer} from '../../front/caller-answer.js';

/** Framing of an answer of `bytes` that its server delimited by the close. */
const framingOf = async (bytes: number): Promise<string> => {
  const server = createServer((_request, response) => {
    const answer = new CallerAnswer(response, () => false);
    answer.send(200, [], Buffer.alloc(bytes), true);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const headers = await new Promise<NodeJS.Dict<string | string[]>>(
    (resolve) => {
      request({port, host: '127.0.0.1'}, (response) => {
        response.resume();
        response.on('end', () => {
          resolve(response.headers);
        });
      }).end();
    },
  );
  server.close();
  return headers['content-length'] === undefined
    ? String(headers.connection)
    : 'length';
};

// Guards against a length that asserts that an answer is complete although its
// server may have truncated it.
test('a small answer without a length keeps its framing', async (t) => {
  t.is(await framingOf(800), 'close');
});

// Guards against a part of an answer that looks complete: the end of the process
// cuts off what the connection has not taken yet.
test('a large answer without a length is sent with one', async (t) => {
  t.is(await framingOf(100_000), 'length');
});

const WHOLE_BYTES = 30_000_000;

// Guards against a whole answer over HTTP/1.0 that is cut: its caller closed its
// half of the connection before it had read the rest.
test('a finished answer over HTTP/1.0 outlasts the half of its caller', async (t) => {
  const server = createServer((_request, response) => {
    const answer = new CallerAnswer(response, () => false);
    answer.begin(200, []);
    answer.write(Buffer.alloc(WHOLE_BYTES));
    answer.end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const caller = connect({port, host: '127.0.0.1', allowHalfOpen: true});
  caller.on('error', () => undefined);
  caller.write('GET / HTTP/1.0\r\n\r\n');
  await sleep(200);
  caller.end();
  await sleep(200);
  let bytes = 0;
  caller.on('data', (chunk) => {
    bytes += chunk.length;
  });
  await new Promise((resolve) => {
    caller.once('close', resolve);
  });
  server.close();
  t.true(bytes > WHOLE_BYTES);
});
