import {type Logger, TimerService} from '@basilworks/daemon';
import {fleet} from '@basilworks/protocol';
import {Server, ServerCredentials} from '@grpc/grpc-js';
import test, {type ExecutionContext} from 'ava';

import {FleetPeerService, PeerLink} from '../../peers/index.js';
import type {KeyCompletion} from '../../peers/crash-codec.js';

type ServiceParts = ConstructorParameters<typeof FleetPeerService>;

const request = {
  requestId: 'r1',
  host: 'me',
  model: 'base',
  adapter: 'a1',
  version: 1,
  maximumWaitMs: 30,
  onTimeWithinMs: 30,
  priority: 0,
  uses: 0,
  inFlight: 0,
  takesCrowded: false,
  among: 1,
  promptTokens: 0,
};

const listen = (server: Server): Promise<number> =>
  new Promise((resolve, reject) => {
    const insecure = ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', insecure, (error, port) => {
      if (error) {
        reject(error);
      } else {
        resolve(port);
      }
    });
  });

test('marks a silent peer unresponsive and passes on its late answer', async (t) => {
  let now = 0;
  const clock = {now: () => ({monotonicMs: now, wallMs: now})};
  const server = new Server();
  server.addService(fleet.FleetServiceService, {
    converse: (
      call: Parameters<fleet.FleetServiceServer['converse']>[0],
    ): void => {
      call.on('data', ({request: received}: fleet.PeerRequest) => {
        // Answers only once the call is cancelled, as if the two had crossed.
        if (received?.$case === 'cancel') {
          call.write({
            serial: received.value,
            response: {
              $case: 'prepare',
              value: {
                answer: {$case: 'resident', value: {version: 1, validMs: 30}},
              },
            },
          });
        }
      });
      call.on('error', () => undefined);
    },
  });
  const port = await listen(server);
  const link = new PeerLink(`127.0.0.1:${port}`, new TimerService(), clock);
  const signal = new AbortController().signal;
  const lateAnswer = new Promise((resolve) => {
    void link.prepare('me', 's1', request, signal, resolve).then((answer) => {
      t.like(answer, {outcome: 'refused', reason: 'unreachable'});
      t.true(link.isUnresponsive);
    });
  });
  t.like(await lateAnswer, {outcome: 'resident'});
  t.false(link.isUnresponsive);
  now = 10_000;
  t.false(link.isUnresponsive);
  link.close();
  server.forceShutdown();
});

// Two permits that took longer than a request can wait made the link replace
// its connection, and all calls pending on it failed.
test('a permit that times out does not mark the peer unresponsive', async (t) => {
  const server = new Server();
  server.addService(fleet.FleetServiceService, {converse: () => undefined});
  const port = await listen(server);
  const clock = {now: () => ({monotonicMs: 0, wallMs: 0})};
  const address = `127.0.0.1:${port}`;
  const link = new PeerLink(address, new TimerService(), clock);
  const permit = {serverRun: 's#1', priority: 0, word: undefined};
  t.is(await link.permit(permit), undefined);
  t.is(await link.permit(permit), undefined);
  t.false(link.isUnresponsive);
  link.close();
  server.forceShutdown();
});

/** Starts a service that answers when requests with keys were completed. */
const startService = async (
  t: ExecutionContext,
  completionsOf: (keys: readonly string[]) => readonly KeyCompletion[],
) => {
  const crashes = {completionsOf} as unknown as ServiceParts[4];
  const logged: string[] = [];
  const logger = {
    error: (message: string) => logged.push(message),
  } as unknown as Logger;
  const unused = {} as never;
  const service = new FleetPeerService(
    ...([unused, unused, unused, unused, crashes, unused, logger] as const),
  );
  const port = (await service.listen('127.0.0.1:0'))._unsafeUnwrap();
  const clock = {now: () => ({monotonicMs: 0, wallMs: 0})};
  const timers = new TimerService();
  const link = new PeerLink(`127.0.0.1:${port}`, timers, clock);
  t.teardown(() => {
    link.close();
    service.close();
    timers.close();
  });
  return {link, logged};
};

// Guards against a peer's request that has no end: each message is kept until
// it is complete.
test('a request beyond the bound is rejected, and the next one is served', async (t) => {
  const received: number[] = [];
  const {link} = await startService(t, (keys) => {
    received.push(keys.join('').length);
    return [];
  });
  t.is(await link.queryCompletions(['x'.repeat(8_000_000)]), undefined);
  t.deepEqual(await link.queryCompletions(['x'.repeat(100_000)]), []);
  t.deepEqual(received, [100_000]);
});

// Guards against a message of a peer that ends the process: whatever handled it
// threw outside of any parser.
test('a request whose handling throws fails alone', async (t) => {
  const {link, logged} = await startService(t, ([key]) => {
    if (key === 'bad') {
      throw new Error('bad key');
    }
    return [];
  });
  t.is(await link.queryCompletions(['bad']), undefined);
  t.deepEqual(await link.queryCompletions(['good']), []);
  t.deepEqual(logged, ['handling a message of a peer failed']);
});
