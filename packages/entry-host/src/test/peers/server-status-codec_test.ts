import type {fleet} from '@basilworks/protocol';
import test from 'ava';

import {
  applyServerStatus,
  encodeServerStatuses,
  requestReadWindow,
} from '../../peers/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

const INSTANCE = 's#1';

const hostWithServer = () => {
  const viewFleet = new FleetSimulation(1);
  const {context} = viewFleet.startHost('h0');
  const at = context.clock.now();
  context.servers.update(
    [{entry: serverEntry('s'), revision: 1}],
    undefined,
    at,
  );
  const apply = (status: Partial<fleet.ServerWord>) => {
    const complete = {
      serverRun: INSTANCE,
      leaving: false,
      rate: undefined,
      ...status,
    };
    applyServerStatus(context, complete, requestReadWindow(at));
  };
  return {
    fleet: viewFleet,
    context,
    apply,
    server: context.servers.get(INSTANCE),
  };
};

const rate = (requestsPerSecond: number | undefined) => ({
  requestsPerSecond,
  sentAgeMs: 20,
  arrivedAgeMs: 10,
});

test('the rate limit and leaving state of a server are relayed independently', (t) => {
  const {fleet, context, apply, server} = hostWithServer();
  t.deepEqual(encodeServerStatuses(context), []);
  apply({leaving: true});
  t.like(encodeServerStatuses(context), [{leaving: true, rate: undefined}]);
  apply({rate: rate(2.5)});
  t.like(encodeServerStatuses(context), [
    {leaving: true, rate: {requestsPerSecond: 2.5}},
  ]);
  t.is(server?.notices.requestsPerSecond, 2.5);
  fleet.close();
});

// An invalid rate limit would make a rate limiter that permits everything or
// nothing.
test('an invalid rate limit or an unknown server changes nothing', (t) => {
  const {fleet, apply, server} = hostWithServer();
  apply({rate: rate(3)});
  for (const value of [NaN, Infinity, -1]) {
    apply({rate: rate(value)});
  }
  apply({serverRun: 'other#1', rate: rate(1)});
  t.is(server?.notices.requestsPerSecond, 3);
  fleet.close();
});
