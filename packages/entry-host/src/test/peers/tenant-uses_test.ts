import {FairShares} from '@basilworks/dispatch';
import {fleet as messages} from '@basilworks/protocol';
import test from 'ava';

import {type PeerConnection, PeerExchange} from '../../index.js';
import {FleetSimulation} from '../views/fleet-simulation.js';

test('every host learns the use by tenants across the whole fleet', async (t) => {
  const fleet = new FleetSimulation(4);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.start();
  const ignore = () => undefined;
  const exchanges = new Map<string, PeerExchange>();
  const shares = fleet.names.map((name) => {
    const {context} = fleet.host(name);
    const fairShares = new FairShares(
      () => 1,
      () => 0,
    );
    const connect = (address: string) => {
      const {host = ''} =
        context.membership
          .live()
          .find(({peerAddress}) => peerAddress === address) ?? {};
      const exchange = (request: messages.ExchangeRequest) => {
        const {ExchangeRequest} = messages;
        const bytes = ExchangeRequest.encode(request).finish();
        const answer = exchanges
          .get(host)
          ?.handleRequest(ExchangeRequest.decode(bytes));
        return Promise.resolve(answer);
      };
      return {exchange, close: ignore} as unknown as PeerConnection;
    };
    const sources = {
      awaitedHosts: () => [],
      issuedLoads: () => [],
      fairShares,
    };
    const exchange = new PeerExchange(context, ignore, connect, sources);
    exchanges.set(name, exchange);
    exchange.start();
    return fairShares;
  });
  const now = () => fleet.host('h0').context.clock.now();
  for (const each of shares) {
    each.admit('s', 'acme', 1_000, now());
  }
  await fleet.time.advance(fleet.time.nowMs + 2_200);
  for (const each of shares) {
    const [use] = each.known(now());
    t.is(use?.tenant, 'acme');
    // Each host's own rate has decayed by one to two thirds since.
    t.true((use?.offered ?? 0) > 600 && (use?.offered ?? 0) < 1_600);
  }
});
