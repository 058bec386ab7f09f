import type {RequestDescription, SendOutcome} from '@basilworks/core';
import {
  type DeliverRequest,
  PeerServiceService,
  type PeerServiceServer,
} from '@basilworks/protocol';
import {Server, ServerCredentials} from '@grpc/grpc-js';
import test, {type ExecutionContext} from 'ava';

import {PeerClient} from '../../peers/peer-client.js';

const REQUEST: RequestDescription = {
  requestId: 'r1',
  member: 'crew',
  adapter: 'tug',
  version: 'v1',
  baseModel: 'marine-8b',
  pool: 'assistant-models',
  priorityClass: 'standard',
  prefixDigest: '',
  maximumTokens: 1,
};

/** A peer on a free port, and a client of it. */
const connect = async (
  t: ExecutionContext,
  execute: PeerServiceServer['execute'],
) => {
  const batches: DeliverRequest[] = [];
  const server = new Server();
  const service: PeerServiceServer = {
    deliver: (call, callback) => {
      batches.push(call.request);
      callback(null, {incarnation: 'peer#1'});
    },
    execute,
  };
  server.addService(PeerServiceService, service);
  const port = await new Promise<number>((resolve, reject) => {
    const insecure = ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', insecure, (error, bound) => {
      if (error) {
        reject(error);
      } else {
        resolve(bound);
      }
    });
  });
  const reachable: boolean[] = [];
  const client = new PeerClient(
    `127.0.0.1:${port}`,
    {host: 'entry-1', incarnation: 'entry-1#1'},
    {
      reachabilityChanged: (value) => {
        reachable.push(value);
      },
      batchSent: () => undefined,
    },
  );
  t.teardown(() => {
    client.close();
    server.forceShutdown();
  });
  return {server, client, batches, reachable};
};

const run = async (
  client: PeerClient,
  onData: () => void = () => undefined,
): Promise<SendOutcome> =>
  new Promise((resolve) => {
    client.execute(
      {
        executionId: 'e1',
        server: 's1',
        request: REQUEST,
        remainingMs: 1_000,
        body: Buffer.from('{}'),
        resumeOffsetBytes: undefined,
      },
      {
        head: () => undefined,
        data: () => {
          onData();
          return true;
        },
        end: resolve,
      },
    );
  });

test('the outcome of the owner is passed on as it is', async (t) => {
  const outcome: SendOutcome = {
    kind: 'refused-before-run',
    refusal: {code: 'load-failed', notRun: true, detail: 'no load'},
  };
  const {client} = await connect(t, (call) => {
    const value = {outcome: JSON.stringify(outcome)};
    call.write({frame: {$case: 'end', value}});
    call.end();
  });
  t.deepEqual(await run(client), outcome);
});

test('a peer that is lost after the request was sent is unknown', async (t) => {
  const {server, client} = await connect(t, (call) => {
    call.write({frame: {$case: 'data', value: Buffer.from('part')}});
  });
  const outcome = await run(client, () => {
    server.forceShutdown();
  });
  t.like(outcome, {kind: 'unknown', deliveredBytes: 4});
});

test('a data path without an outcome is unknown', async (t) => {
  const {client} = await connect(t, (call) => {
    call.end();
  });
  t.like(await run(client), {kind: 'unknown', refusal: {notRun: false}});
});

test('a peer that cannot be reached gets nothing', async (t) => {
  const {server, client, reachable} = await connect(t, () => undefined);
  server.forceShutdown();
  t.like(await run(client), {kind: 'not-sent', refusal: {notRun: true}});
  t.deepEqual(reachable, [false]);
});

test('messages arrive in order, those of one turn in one batch', async (t) => {
  const {client, batches} = await connect(t, () => undefined);
  for (let index = 0; index < 50; index++) {
    const placementId = `p${index}`;
    client.send({type: 'placement-finished', placementId});
  }
  while (batches.length === 0) {
    await new Promise(setImmediate);
  }
  t.is(batches.length, 1);
  t.is(batches[0]?.fromIncarnation, 'entry-1#1');
  t.deepEqual(
    batches[0]?.messages.map(
      (text) => (JSON.parse(text) as {placementId: string}).placementId,
    ),
    Array.from({length: 50}, (_, index) => `p${index}`),
  );
});

test('a batch that falls due after the close is dropped', async (t) => {
  const {client, batches} = await connect(t, () => undefined);
  client.send({type: 'placement-finished', placementId: 'p1'});
  client.close();
  await new Promise((resolve) => setImmediate(resolve));
  t.is(batches.length, 0);
});
