import type {fleet} from '@basilworks/protocol';
import test from 'ava';

import {encodeWords, lookedBefore, takeWord} from '../../peers/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

const RUN = 's#1';

const hostWithServer = () => {
  const fleet_ = new FleetSimulation(1);
  const {context} = fleet_.startHost('h0');
  const at = context.clock.now();
  context.servers.update(
    [{entry: serverEntry('s'), revision: 1}],
    undefined,
    at,
  );
  const take = (word: Partial<fleet.ServerWord>) => {
    const whole = {serverRun: RUN, leaving: false, rate: undefined, ...word};
    takeWord(context, whole, lookedBefore(at));
  };
  return {fleet: fleet_, context, take, server: context.servers.get(RUN)};
};

const rate = (requestsPerSecond: number | undefined) => ({
  requestsPerSecond,
  sentAgeMs: 20,
  arrivedAgeMs: 10,
});

test('what a server said is passed on, limit and leaving apart', (t) => {
  const {fleet, context, take, server} = hostWithServer();
  t.deepEqual(encodeWords(context), []);
  take({leaving: true});
  t.like(encodeWords(context), [{leaving: true, rate: undefined}]);
  take({rate: rate(2.5)});
  t.like(encodeWords(context), [
    {leaving: true, rate: {requestsPerSecond: 2.5}},
  ]);
  t.is(server?.notices.requestsPerSecond, 2.5);
  fleet.close();
});

// A rate that is none would have made a meter that lets everything go, or nothing.
test('a word that is no rate, or on no known server, changes nothing', (t) => {
  const {fleet, take, server} = hostWithServer();
  take({rate: rate(3)});
  for (const value of [NaN, Infinity, -1]) {
    take({rate: rate(value)});
  }
  take({serverRun: 'other#1', rate: rate(1)});
  t.is(server?.notices.requestsPerSecond, 3);
  fleet.close();
});
