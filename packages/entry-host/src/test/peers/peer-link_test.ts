import {TimerService} from '@basilworks/daemon';
import {fleet} from '@basilworks/protocol';
import {Server, ServerCredentials} from '@grpc/grpc-js';
import test from 'ava';

import {PeerLink} from '../../peers/index.js';

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

test('passes a silent peer over, and takes a late answer for a release', async (t) => {
  let now = 0;
  const clock = {now: () => ({monotonicMs: now, wallMs: now})};
  const server = new Server();
  server.addService(fleet.FleetServiceService, {
    converse: (
      call: Parameters<fleet.FleetServiceServer['converse']>[0],
    ): void => {
      call.on('data', ({request: asked}: fleet.PeerRequest) => {
        // The answer crosses the word that it is not wanted any more.
        if (asked?.$case === 'cancel') {
          call.write({
            serial: asked.value,
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
  const late = new Promise((resolve) => {
    void link.prepare('me', 's1', request, signal, resolve).then((missing) => {
      t.like(missing, {outcome: 'refused', reason: 'unreachable'});
      t.true(link.isUnresponsive);
    });
  });
  t.like(await late, {outcome: 'resident'});
  t.false(link.isUnresponsive);
  now = 10_000;
  t.false(link.isUnresponsive);
  link.close();
  server.forceShutdown();
});

// The connection to a peer was replaced, and all that waited on it lost, when two
// permits took longer than a request can wait for them.
test('a permit that does not come in time tells nothing of the peer', async (t) => {
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
