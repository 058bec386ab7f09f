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
  plainEntries,
  plainService,
  recordAnswer,
} from './plain-service-simulation.js';

/**
 * The load: servers whose long-term speeds differ by up to 2.2 times and which
 * are slower for a while, 70 hosts that each receive few reports from any, and
 * many adapters, none of which is popular.
 */
const SERVERS = 42;
const HOSTS = 70;
const SLOTS = 24;
const ADAPTERS = 10_000;
const REQUESTS_PER_SECOND = 539;
const DURATION_MS = 30_000;
const NOISE = {share: 0.15, factor: 2.5};

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

/**
 * Simulates the load. If `weighted`, hosts rank servers by the long-term
 * slowdown that issuers report.
 */
const simulate = (seed: number, weighted: boolean) => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const entries = plainEntries(SERVERS, SLOTS);
  const hosts = Array.from({length: HOSTS}, () => {
    const table = new ServerTable();
    table.update(entries, undefined, at(0));
    return new Map(table.all().map((server) => [server.entry.id, server]));
  });
  const slowdowns = new Map(
    entries.map(({entry}) => [entry.id, 1 + 1.2 * random()]),
  );
  const issuers = new Map(
    entries.map(({entry}) => [entry.id, new LongTermSlowdown()]),
  );
  const busyTime = new Map<string, number>();
  const serversByAdapter = new Map<string, Set<string>>();
  const rank = (servers: ReadonlyMap<string, Server>, adapter: string) =>
    rankByAffinity(adapter, [...servers.values()], {
      at: at(0),
      zone: 'z0',
      tried: new Set(),
      silenceLimitMs: 800,
      random,
    }).byAffinity;
  for (let ms = 0; ms < DURATION_MS; ms += 1_000 / REQUESTS_PER_SECOND) {
    const host = hosts[Math.floor(random() * HOSTS)] ?? new Map();
    const adapter = `base/a${Math.floor(random() * ADAPTERS)}`;
    const [server] = rank(host, adapter);
    const id = server?.entry.id ?? '';
    const slowdown = slowdowns.get(id) ?? 1;
    const noise = random() < NOISE.share ? NOISE.factor : 1;
    issuers.get(id)?.applyReport(slowdown * noise);
    if (weighted) {
      server?.health.applyIssuerReport(0, at(ms), issuers.get(id)?.current());
    }
    if (ms > DURATION_MS / 2) {
      busyTime.set(id, (busyTime.get(id) ?? 0) + slowdown);
      serversByAdapter.set(
        adapter,
        (serversByAdapter.get(adapter) ?? new Set()).add(id),
      );
    }
  }
  const counts = [...busyTime.values()];
  const mean = counts.reduce((sum, count) => sum + count, 0) / SERVERS;
  const serverCount = [...serversByAdapter.values()].reduce(
    (sum, {size}) => sum + size,
    0,
  );
  return {
    /** Ratio of the busiest server's work to the mean. */
    maxLoadRatio: Math.max(...counts) / mean,
    /** Mean number of servers that got requests for an adapter. */
    serversPerAdapter: serverCount / serversByAdapter.size,
  };
};

for (const seed of [1, 2, 3, 4, 5]) {
  test(`faster servers get more adapters, the same on all hosts (seed ${seed})`, (t) => {
    const unweighted = simulate(seed, false);
    const weighted = simulate(seed, true);
    t.log({unweighted, weighted});
    t.true(unweighted.maxLoadRatio > 1.3 && weighted.maxLoadRatio < 1.3);
    t.true(
      weighted.serversPerAdapter < 1.03,
      `${weighted.serversPerAdapter} servers for an adapter`,
    );
  });
}

const context = (ms: number) => ({
  at: at(ms),
  zone: 'z0',
  tried: new Set<string>(),
  silenceLimitMs: 800,
  random: () => 0,
});

test('servers without reports are ranked by plain rendezvous hashing', (t) => {
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

test('cached rankings equal computed ones', (t) => {
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
      const cached = rankByAffinity(`k${key}`, servers, context(0), cache);
      t.deepEqual(cached, rankByAffinity(`k${key}`, servers, context(0)));
    }
  });
  fc.assert(property, {seed: 27, numRuns: 50});
});

test('a currently slow server keeps its rank but counts as slowed', (t) => {
  const servers = plainService(4);
  for (let ms = 1_000; ms <= 2_000; ms += 100) {
    servers.forEach((server) => {
      recordAnswer(server, 40, 1, ms);
    });
  }
  const [first] = rankByAffinity('k', servers, context(2_001)).byAffinity;
  if (first === undefined) {
    t.fail('no server');
    return;
  }
  recordAnswer(first, 100, 2.5, 2_001);
  const slow = rankByAffinity('k', servers, context(2_100));
  t.is(slow.byPreference[0], first);
  t.false(slow.notSlowed.includes(first));
  t.true(
    rankByAffinity('k', servers, context(2_400)).notSlowed.includes(first),
  );
});

test('a few reports do not change a slowdown, and its step is stable', (t) => {
  const slowdown = new LongTermSlowdown();
  t.is(slowdown.current(), undefined);
  slowdown.applyReport(2);
  t.is(slowdown.current(), 1);
  for (let count = 0; count < 300; count += 1) {
    slowdown.applyReport(2);
  }
  const inUse = slowdown.current();
  for (let count = 0; count < 300; count += 1) {
    slowdown.applyReport(count % 2 === 0 ? 1.9 : 2.1);
    t.is(slowdown.current(), inUse);
  }
  t.is(new LongTermSlowdown(inUse).current(), inUse);
});
