import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';
import {request} from 'undici';

import {ChunkWriter} from '../http/chunk-writer.js';
import {Authenticator} from '../http/authentication.js';
import {toErrorAnswer} from '../http/errors.js';
import {countEvents} from '../lib/count-tokens.js';
import {daemonSettingsSchema} from '../settings-schema.js';
import {TestFleet, TOKENS} from './fleet.js';

const serve = async (
  answer: (response: ServerResponse) => void,
): Promise<Server> => {
  const server = createServer((_request, response) => {
    answer(response);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
};

test('frames each chunk and keeps the connection usable', async (t) => {
  const large = Buffer.alloc(70_000, 'x');
  const server = await serve((response) => {
    const writer = new ChunkWriter(response, () => undefined);
    writer.begin(200, {'content-type': 'text/plain'});
    for (const chunk of ['a', '', 'b'.repeat(17)]) {
      writer.write(Buffer.from(chunk));
    }
    writer.write(large);
    writer.end();
  });
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  for (let round = 0; round < 3; round++) {
    const {body} = await request(`http://127.0.0.1:${port}/`);
    t.is(await body.text(), `a${'b'.repeat(17)}${large.toString()}`);
  }
});

test('a bearer token names its holder and nobody else', (t) => {
  const digest =
    '2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b';
  const settings = daemonSettingsSchema.parse({
    host: 'entry-1',
    zone: 'fairhaven',
    callerAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    objectApiUrl: 'http://127.0.0.1:3',
    hostListUrl: 'http://127.0.0.1:4',
    members: [{member: 'crew', tokenDigest: digest}],
  });
  const authenticator = new Authenticator(settings);
  t.is(authenticator.member('Bearer secret'), 'crew');
  t.is(authenticator.operator('Bearer secret'), undefined);
  for (const authorization of [
    undefined,
    'secret',
    'Bearer Secret',
    'Bearer ',
  ]) {
    t.is(authenticator.member(authorization), undefined);
  }
});

test('an error answer carries code, request identity and Retry-After', (t) => {
  const refusal = {
    code: 'overloaded' as const,
    notRun: true,
    detail: 'busy',
    retryAfterMs: 1_200,
  };
  t.deepEqual(toErrorAnswer(refusal, 'r1'), {
    status: 429,
    headers: {'x-request-id': 'r1', 'retry-after': '2'},
    body: {
      error: {
        code: 'overloaded',
        message: 'busy',
        notRun: true,
        retryAfterMs: 1_200,
        requestId: 'r1',
      },
    },
  });
});

test('counts the events of a chunk', (t) => {
  t.is(countEvents(Buffer.from('data: a\n\ndata: b\n\ndata: par')), 2);
  t.is(countEvents(Buffer.from('tial')), 0);
});

test.serial('bad input is refused before any upstream sees it', async (t) => {
  const fleet = await TestFleet.start(1);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(['tug']);
  const [host] = fleet.hosts;
  const messages = [{role: 'user', content: 'x'}];
  const good = {model: 'tug', messages};
  const unknownToken = {authorization: 'Bearer nobody'};
  const cases: readonly [unknown, Record<string, string>, number, string][] = [
    ['{"model":', {}, 400, 'malformed-request'],
    [{model: 'tug'}, {}, 400, 'malformed-request'],
    [good, {'x-deadline-ms': 'soon'}, 400, 'malformed-request'],
    [good, {'x-priority-class': 'vip'}, 400, 'malformed-request'],
    ['x'.repeat(20_000), {}, 413, 'body-too-large'],
    [good, unknownToken, 401, 'unauthenticated'],
    [{...good, model: 'raft'}, {}, 404, 'unknown-adapter'],
    [{...good, model: 'tug@v9'}, {}, 404, 'unknown-version'],
  ];
  for (const [body, headers, status, code] of cases) {
    const answer = await fleet.post(host, body, headers);
    const {error} = (await answer.json()) as {
      error: {code: string; notRun: boolean; requestId: string};
    };
    t.is(answer.status, status);
    t.like(error, {code, notRun: true});
    t.is(answer.headers.get('x-request-id'), error.requestId);
  }
  const runs = [...fleet.platform.engines.values()].map((engine) => {
    const {running, waiting} = engine.report();
    return running + waiting;
  });
  t.deepEqual(
    runs,
    runs.map(() => 0),
  );
});

test.serial('the status of a request is told to its own member', async (t) => {
  const fleet = await TestFleet.start(1);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(['tug']);
  const [host] = fleet.hosts;
  const answer = await fleet.ask(host, {
    model: 'tug',
    messages: [{role: 'user', content: 'x'}],
  });
  await answer.text();
  const requestId = answer.headers.get('x-request-id') ?? '';
  const statusFor = async (token: string) => {
    const url = `http://${host?.address ?? ''}/v1/requests/${requestId}`;
    const {statusCode, body} = await request(url, {
      headers: {authorization: `Bearer ${token}`},
    });
    return {statusCode, body: await body.json()};
  };
  t.deepEqual(await statusFor(TOKENS['crew-one']), {
    statusCode: 200,
    body: {requestId, state: 'answered'},
  });
  t.is((await statusFor(TOKENS['crew-two'])).statusCode, 404);
});

test('a caller that reads slowly pauses its source until it drains', async (t) => {
  const chunk = Buffer.alloc(65_536, 'x');
  let written = 0;
  let pauses = 0;
  const server = await serve((response) => {
    const writeAll = (): void => {
      while (written < 200) {
        written += 1;
        if (!writer.write(chunk)) {
          pauses += 1;
          return;
        }
      }
      writer.end();
    };
    const writer = new ChunkWriter(response, writeAll);
    writer.begin(200, {});
    writeAll();
  });
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  const {body} = await request(`http://127.0.0.1:${port}/`);
  await once(body, 'readable');
  t.true(written < 200);
  let received = 0;
  for await (const part of body) {
    received += (part as Buffer).length;
  }
  t.is(received, 200 * chunk.length);
  t.true(pauses > 0);
});
