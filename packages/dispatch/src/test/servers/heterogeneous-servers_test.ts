import {rankByRendezvous} from '@basilworks/core';
import test from 'ava';
import fc from 'fast-check';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  LongTermSlowdown,
  rankByAffinity,
  RendezvousCache,
  type Server,
  ServerTable,
} from '../../index.js';
import {
  answer,
  plainEntries,
  plainService,
} from './plain-service-simulation.js';

/**
 * The pattern: engines that differ in speed by 2.2 times for good and are slow
 * for a while, 70 hosts that each hear little of any, many adapters of which
 * none is asked for much.
 */
const SERVERS = 42;
const HOSTS = 70;
const SLOTS = 24;
const ADAPTERS = 10_000;
const REQUESTS_PER_S = 539;
const PERIOD_MS = 30_000;
const NOISE = {share: 0.15, factor: 2.5};

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

const play = (seed: number, agreeing: boolean) => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const entries = plainEntries(SERVERS, SLOTS);
  const hosts = Array.from({length: HOSTS}, () => {
    const table = new ServerTable();
    table.update(entries, undefined, at(0));
    return new Map(table.all().map((server) => [server.entry.id, server]));
  });
  const speeds = new Map(
    entries.map(({entry}) => [entry.id, 1 + 1.2 * random()]),
  );
  const issuers = new Map(
    entries.map(({entry}) => [entry.id, new LongTermSlowdown()]),
  );
  const busy = new Map<string, number>();
  const homes = new Map<string, Set<string>>();
  const rank = (servers: ReadonlyMap<string, Server>, adapter: string) =>
    rankByAffinity(adapter, [...servers.values()], {
      at: at(0),
      zone: 'z0',
      tried: new Set(),
      silenceLimitMs: 800,
      random,
    }).byAffinity;
  for (let ms = 0; ms < PERIOD_MS; ms += 1_000 / REQUESTS_PER_S) {
    const host = hosts[Math.floor(random() * HOSTS)] ?? new Map();
    const adapter = `base/a${Math.floor(random() * ADAPTERS)}`;
    const [server] = rank(host, adapter);
    const id = server?.entry.id ?? '';
    const speed = speeds.get(id) ?? 1;
    const noise = random() < NOISE.share ? NOISE.factor : 1;
    issuers.get(id)?.applyReport(speed * noise);
    if (agreeing) {
      server?.health.applyIssuerReport(0, at(ms), issuers.get(id)?.current());
    }
    if (ms > PERIOD_MS / 2) {
      busy.set(id, (busy.get(id) ?? 0) + speed);
      homes.set(adapter, (homes.get(adapter) ?? new Set()).add(id));
    }
  }
  const counts = [...busy.values()];
  const mean = counts.reduce((sum, count) => sum + count, 0) / SERVERS;
  const copies = [...homes.values()].reduce((sum, {size}) => sum + size, 0);
  return {
    /** Time of work at the busiest server against the mean. */
    busiest: Math.max(...counts) / mean,
    /** Servers to which the requests for an adapter went. */
    homes: copies / homes.size,
  };
};

for (const seed of [1, 2, 3, 4, 5]) {
  test(`faster servers get more adapters, on all hosts alike (seed ${seed})`, (t) => {
    const alike = play(seed, false);
    const agreed = play(seed, true);
    t.log({alike, agreed});
    t.true(alike.busiest > 1.3 && agreed.busiest < 1.3);
    t.true(agreed.homes < 1.03, `${agreed.homes} servers for an adapter`);
  });
}

const context = (ms: number) => ({
  at: at(ms),
  zone: 'z0',
  tried: new Set<string>(),
  silenceLimitMs: 800,
  random: () => 0,
});

test('servers that tell nothing are ranked as before', (t) => {
  const property = fc.property(fc.string(), fc.nat(69), (key, count) => {
    const servers = plainService(count + 1);
    const ids = servers.map(({entry}) => entry.id);
    const {byAffinity, notOverloaded, notSlowed} = rankByAffinity(
      key,
      servers,
      context(0),
    );
    t.deepEqual(
      byAffinity.map(({entry}) => entry.id),
      [...rankByRendezvous(key, ids)],
    );
    t.deepEqual(notSlowed, notOverloaded);
  });
  fc.assert(property, {seed: 27, numRuns: 200});
});

test('rankings that are kept are those that are made anew', (t) => {
  const cache = new RendezvousCache();
  const change = fc.record({
    key: fc.nat(900),
    servers: fc.integer({min: 1, max: 8}),
    slowness: fc.constantFrom(1, 1.2, 1.44),
  });
  const property = fc.property(fc.array(change), (changes) => {
    for (const {key, servers: count, slowness} of changes) {
      const servers = plainService(count);
      servers[key % count]?.health.applyIssuerReport(1, at(0), slowness);
      const kept = rankByAffinity(`k${key}`, servers, context(0), cache);
      t.deepEqual(kept, rankByAffinity(`k${key}`, servers, context(0)));
    }
  });
  fc.assert(property, {seed: 27, numRuns: 50});
});

test('a server that is slow now keeps its rank and is not swift', (t) => {
  const servers = plainService(4);
  for (let ms = 1_000; ms <= 2_000; ms += 100) {
    servers.forEach((server) => {
      answer(server, 40, 1, ms);
    });
  }
  const [home] = rankByAffinity('k', servers, context(2_001)).byAffinity;
  if (home === undefined) {
    t.fail('no server');
    return;
  }
  answer(home, 100, 2.5, 2_001);
  const slow = rankByAffinity('k', servers, context(2_100));
  t.is(slow.byPreference[0], home);
  t.false(slow.notSlowed.includes(home));
  t.true(rankByAffinity('k', servers, context(2_400)).notSlowed.includes(home));
});

test('a word or two do not move a server, and a step holds', (t) => {
  const lasting = new LongTermSlowdown();
  t.is(lasting.current(), undefined);
  lasting.applyReport(2);
  t.is(lasting.current(), 1);
  for (let word = 0; word < 300; word += 1) {
    lasting.applyReport(2);
  }
  const agreed = lasting.current();
  for (let word = 0; word < 300; word += 1) {
    lasting.applyReport(word % 2 === 0 ? 1.9 : 2.1);
    t.is(lasting.current(), agreed);
  }
  t.is(new LongTermSlowdown(agreed).current(), agreed);
});
