import {hostListSchema} from '@basilworks/core';
import test from 'ava';
import {fetch} from 'undici';

import {HALLORAN} from '../deployments.js';
import {standInHistorySchema} from '../http/control-protocol.js';
import {controlRoutes} from '../http/control-routes.js';
import {plainBodyDigest} from '../http/plain-service-routes.js';
import {AnswerText} from '../lib/answer-text.js';
import {StandInPlatform} from '../stand-in-platform.js';

const SUBJECT = {
  requestId: 'r1',
  adapter: 'tug',
  version: 'v2',
  user: 'fleet',
  prompt: 'signal?',
};

const setUp = async () => {
  const platform = await StandInPlatform.start({
    ...HALLORAN,
    hostListLagMs: 0,
    tokenMs: 1,
    fullBatchTokenMs: 1,
  });
  const control = await platform.listen(controlRoutes(platform));
  const post = (
    address: string,
    path: string,
    body: unknown,
    headers: Record<string, string> = {},
  ) =>
    fetch(`http://${address}${path}`, {
      method: 'POST',
      body: JSON.stringify(body),
      headers,
    });
  const [engine] = platform.servers();
  const engineAddress = engine?.address ?? '';
  const load = () =>
    post(engineAddress, '/adapters/load', {
      orderId: 'o1',
      adapter: SUBJECT.adapter,
      version: SUBJECT.version,
      fencingNumber: 1,
    });
  const complete = (stream: boolean) =>
    post(
      engineAddress,
      '/v1/chat/completions',
      {
        model: 'tug@v2',
        messages: [{content: SUBJECT.prompt}],
        user: SUBJECT.user,
        stream,
        max_tokens: 20,
      },
      {
        'x-request-id': SUBJECT.requestId,
        'x-execution-id': 'e1',
        'x-fencing-number': '1',
      },
    );
  return {platform, control, post, engineAddress, load, complete};
};

test('an engine streams the expected bytes, again from an offset', async (t) => {
  const {platform, engineAddress, load, complete} = await setUp();
  t.is((await complete(true)).status, 404);
  t.is((await load()).status, 200);
  const response = await complete(true);
  t.is(response.headers.get('x-adapter'), SUBJECT.adapter);
  t.is(response.headers.get('x-version'), SUBJECT.version);
  const text = await response.text();
  const expected = new AnswerText(SUBJECT).stream(0, 20, true).toString();
  t.is(text, expected);
  const offset = 333;
  const resumed = await fetch(
    `http://${engineAddress}/v1/streams/e1?offset=${offset}`,
  );
  t.is(await resumed.text(), expected.slice(offset));
  platform.close();
});

test('an engine answers whole, and the history names the run', async (t) => {
  const {platform, control, load, complete} = await setUp();
  await load();
  const body = Buffer.from(await (await complete(false)).arrayBuffer());
  t.deepEqual(body, new AnswerText(SUBJECT).whole(20));
  const history = standInHistorySchema.parse(
    await (await fetch(`http://${control}/history`)).json(),
  );
  t.like(history.runs[0], {requestId: 'r1', adapter: 'tug', end: 'complete'});
  t.is(history.loads, 1);
  platform.close();
});

test('the object API writes conditionally and loses answers', async (t) => {
  const {platform, control, post} = await setUp();
  const origin = `http://${platform.objectApiAddress}`;
  const put = (value: string, expectedVersion: number) =>
    fetch(`${origin}/objects/claim/a`, {
      method: 'PUT',
      body: JSON.stringify({value, expectedVersion}),
    });
  t.is((await put('1', 0)).status, 200);
  t.is((await put('2', 0)).status, 409);
  await post(control, '/faults', {target: 'object-api', loseNextAnswers: 1});
  await t.throwsAsync(put('3', 1));
  const read = await fetch(`${origin}/objects/claim/a`);
  t.like(await read.json(), {value: '3', version: 2});
  await post(control, '/faults', {target: 'object-api', outage: true});
  t.is((await fetch(`${origin}/objects/claim/a`)).status, 503);
  platform.close();
});

test('a plain service runs a call whose answer is lost', async (t) => {
  const {platform, control, post} = await setUp();
  const address =
    platform.servers().find(({kind}) => kind === 'plain')?.address ?? '';
  const call = () =>
    post(address, '/operations/top-up', {order: 1}, {'x-member': 'fleet'});
  t.deepEqual(await (await call()).json(), {
    operation: 'top-up',
    member: 'fleet',
    bodyDigest: plainBodyDigest('{"order":1}'),
  });
  await post(control, '/faults', {
    target: 'plain-services',
    loseNextAnswers: 1,
  });
  await t.throwsAsync(call());
  const history = standInHistorySchema.parse(
    await (await fetch(`http://${control}/history`)).json(),
  );
  t.is(history.calls[0]?.runs, 2);
  platform.close();
});

test('the host list shows a server as leaving once told so', async (t) => {
  const {platform, control, post} = await setUp();
  const server = 'assistant-models-1';
  const unknown = await post(control, '/faults', {target: 'nothing'});
  t.is(unknown.status, 400);
  await post(control, '/faults', {
    target: 'server-state',
    server,
    state: 'leaving',
  });
  const response = await fetch(`http://${platform.hostListAddress}/hosts`);
  const {servers} = hostListSchema.parse(await response.json());
  t.is(servers.find((entry) => entry.server === server)?.state, 'leaving');
  platform.close();
});
