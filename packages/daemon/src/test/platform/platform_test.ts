import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {SendOutcome, StoreOperation, StoreResult} from '@basilworks/core';
import test, {type ExecutionContext} from 'ava';
import {Agent} from 'undici';

import type {AnswerSink} from '../../lib/answer.js';
import {
  HttpClient,
  HttpEngineClient,
  HttpObjectApi,
  HttpPlainServiceClient,
} from '../../platform/index.js';
import {TimerService} from '../../timer-service.js';

const TIMEOUT_MS = 20_000;

type Answer = (request: IncomingMessage, response: ServerResponse) => void;

/** An outside system that answers every request in one way. */
const serve = async (t: ExecutionContext, answer: Answer) => {
  let requests = 0;
  const server = createServer((request, response) => {
    requests += 1;
    answer(request, response);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const agent = new Agent();
  t.teardown(async () => {
    server.closeAllConnections();
    server.close();
    await agent.destroy();
  });
  const {port} = server.address() as AddressInfo;
  const client = new HttpClient(agent, new TimerService());
  const stop = async () => {
    server.close();
    await once(server, 'close');
  };
  const address = `127.0.0.1:${port}`;
  return {address, client, stop, requests: () => requests};
};

const respond =
  (status: number, body: unknown, headers: Record<string, string> = {}) =>
  (_request: IncomingMessage, response: ServerResponse): void => {
    response.writeHead(status, headers).end(JSON.stringify(body));
  };

const cut: Answer = (request) => {
  request.socket.destroy();
};

const engineError = (status: number, code: string): Answer =>
  respond(status, {error: {code, message: code}});

const GOOD_HEAD = {'x-adapter': 'tug', 'x-version': 'v1'};

/** Runs one execution; returns its outcome and what arrived. */
const execute = async (
  {address, client}: Awaited<ReturnType<typeof serve>>,
  options: {
    readonly mayWrite?: boolean;
    readonly timeoutMs?: number;
    readonly resumeOffsetBytes?: number;
  } = {},
) => {
  let received = '';
  const outcome = await new Promise<SendOutcome>((resolve) => {
    const sink: AnswerSink = {
      head: () => undefined,
      data: (chunk) => {
        received += chunk.toString();
        return true;
      },
      end: resolve,
    };
    new HttpEngineClient(client).execute(
      {
        address,
        executionId: 'e1',
        requestId: 'r1',
        fencingNumber: 1,
        priority: 0,
        promptCacheKey: '',
        body: Buffer.from('{}'),
        resumeOffsetBytes: options.resumeOffsetBytes,
        timeoutMs: options.timeoutMs ?? TIMEOUT_MS,
        mayWrite: () => options.mayWrite ?? true,
      },
      sink,
    );
  });
  return {outcome, received};
};

test('an execution ends as answered, with the bytes as they came', async (t) => {
  const engine = await serve(t, respond(200, {text: 'aye'}, GOOD_HEAD));
  const {outcome, received} = await execute(engine);
  t.deepEqual(outcome, {kind: 'answered', status: 200});
  t.is(received, '{"text":"aye"}');
});

for (const [code, status] of [
  ['adapter-not-resident', 404],
  ['stale-fencing', 412],
  ['queue-full', 429],
] as const) {
  test(`${code} proves that nothing ran`, async (t) => {
    const engine = await serve(t, engineError(status, code));
    const {outcome} = await execute(engine);
    t.is(outcome.kind, 'refused-before-run');
  });
}

test('an error that does not say so proves nothing', async (t) => {
  const failing = await serve(t, engineError(500, 'internal'));
  t.is((await execute(failing)).outcome.kind, 'answered');
  const malformed = await serve(t, respond(429, {}));
  t.is((await execute(malformed)).outcome.kind, 'answered');
});

test('a refused resume never counts as an answer', async (t) => {
  const engine = await serve(t, engineError(404, 'unknown-stream'));
  const {outcome} = await execute(engine, {resumeOffsetBytes: 10});
  t.like(outcome, {kind: 'unknown', refusal: {code: 'unknown-request'}});
});

test('a connection that breaks after the write is unknown', async (t) => {
  const silent = await serve(t, cut);
  t.like((await execute(silent)).outcome, {kind: 'unknown', deliveredBytes: 0});
  const partial = await serve(t, (_request, response) => {
    response.writeHead(200, {...GOOD_HEAD, 'content-length': '100'});
    response.write('half', () => {
      response.destroy();
    });
  });
  const {outcome} = await execute(partial);
  t.like(outcome, {kind: 'unknown', deliveredBytes: 4});
});

/** Sends half of an answer that only the end of its connection delimits. */
const unframedHalf = (response: ServerResponse, reset: () => void): void => {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, GOOD_HEAD);
  response.write('half');
  // After the runtime has written it.
  process.nextTick(reset);
};

for (const delayMs of [0, 50]) {
  // Guards against a part of an answer that passes for the whole: the HTTP client
  // reports a reset as the end of an answer that has neither a length nor chunks.
  test(`an answer without a length that is reset is unknown: after ${delayMs} ms`, async (t) => {
    const engine = await serve(t, ({socket}, response) => {
      unframedHalf(response, () => {
        setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
    });
    const {outcome} = await execute(engine);
    t.like(outcome, {kind: 'unknown', deliveredBytes: 4});
  });
}

test('an answer that never begins is unknown at the timeout', async (t) => {
  const answers = [respond(200, {}, GOOD_HEAD), () => undefined];
  const engine = await serve(t, (request, response) => {
    answers.shift()?.(request, response);
  });
  // The connection stands already: the time is not spent on connecting.
  t.is((await execute(engine)).outcome.kind, 'answered');
  const {outcome} = await execute(engine, {timeoutMs: 30});
  t.like(outcome, {kind: 'unknown', refusal: {code: 'timeout', notRun: false}});
});

test('a host that may not act writes nothing', async (t) => {
  const engine = await serve(t, respond(200, {}, GOOD_HEAD));
  const {outcome} = await execute(engine, {mayWrite: false});
  t.like(outcome, {kind: 'not-sent', refusal: {code: 'ownership-lost'}});
  t.is(engine.requests(), 0);
});

test('a refused connection is not sent', async (t) => {
  const engine = await serve(t, respond(200, {}));
  await engine.stop();
  t.like((await execute(engine)).outcome, {
    kind: 'not-sent',
    refusal: {code: 'upstream-unreachable', notRun: true},
  });
});

const UPDATE: StoreOperation = {
  type: 'update',
  kind: 'claims',
  name: 'a/b',
  value: '{}',
  expectedVersion: 3,
};

const storeCases: readonly (readonly [string, Answer, StoreResult])[] = [
  ['written', respond(200, {version: 4}), {type: 'written', version: 4}],
  ['conflict', respond(409, {}), {type: 'conflict', current: undefined}],
  [
    'rate limit',
    respond(429, {}, {'retry-after': '2'}),
    {type: 'unavailable', retryAfterMs: 2_000},
  ],
  ['outage', respond(503, {}), {type: 'unavailable', retryAfterMs: 1_000}],
  ['failure', respond(500, {}), {type: 'unknown'}],
  ['lost answer', cut, {type: 'unknown'}],
  ['malformed answer', respond(200, {}), {type: 'unknown'}],
];

for (const [name, answer, expected] of storeCases) {
  test(`a write ends in a ${name}`, async (t) => {
    const {address, client} = await serve(t, answer);
    const store = new HttpObjectApi(
      client,
      `http://${address}`,
      () => undefined,
    );
    t.deepEqual(await store.perform(UPDATE, TIMEOUT_MS), expected);
  });
}

test('a write that is never sent has no effect', async (t) => {
  const {address, client, stop} = await serve(t, cut);
  await stop();
  const store = new HttpObjectApi(client, `http://${address}`, () => undefined);
  const result = await store.perform(UPDATE, TIMEOUT_MS);
  t.is(result.type, 'unavailable');
});

test('a call to a plain service is sent once and classified', async (t) => {
  const call = async (answer: Answer) => {
    const service = await serve(t, answer);
    const result = await new HttpPlainServiceClient(service.client).call({
      address: service.address,
      operation: 'top-up',
      requestId: 'r1',
      member: 'crew',
      contentType: 'application/json',
      body: Buffer.from('{}'),
      timeoutMs: TIMEOUT_MS,
    });
    t.is(service.requests(), 1);
    return result.outcome.kind;
  };
  t.is(await call(respond(201, {})), 'answered');
  t.is(await call(respond(500, {})), 'answered');
  t.is(await call(respond(503, {})), 'answered');
  const notRun = respond(503, {}, {'x-not-run': 'true'});
  t.is(await call(notRun), 'refused-before-run');
  t.is(await call(cut), 'unknown');
});
