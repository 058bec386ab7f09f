import {rankByRendezvous} from '@basilworks/core';
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  AdapterDemand,
  AdapterSpreads,
  nextCandidate,
  overloadThreshold,
} from '../../index.js';
import {at, SEEDS} from '../servers/plain-service-simulation.js';

/**
 * Guards against a burst on one adapter overloading its home server before the
 * spread of the adapter grows. Few adapters get most of the requests, whose
 * rate oscillates; a rare adapter gets about a sixth of all requests for six
 * seconds; later, other adapters become popular.
 */
const SERVERS = Array.from({length: 42}, (_unused, index) => `s${index}`);
const HOSTS = 70;
const ADAPTERS = 10_000;
const POPULARITY_EXPONENT = 1.2;
const SLOTS = 24;
const ADAPTER_SLOTS = 11;
const REQUESTS_PER_S = 539;
const WAVE = {swing: 0.55, periodMs: 15_000};
const RUN_MS = 500;
const HOT = {adapter: 5_000, share: 0.16, fromMs: 15_000, untilMs: 21_000};
const SHIFT_MS = 30_000;
const PERIOD_MS = 36_000;

/** Servers that a host queries before it uses the least loaded of them. */
const MAXIMUM_QUERIES = 3;

const simulate = (seed: number, detectBursts: boolean) => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  let total = 0;
  const bounds = Float64Array.from({length: ADAPTERS}, (_unused, rank) => {
    total += (rank + 1) ** -POPULARITY_EXPONENT;
    return total;
  });
  const drawAdapter = (ms: number) => {
    if (ms > HOT.fromMs && ms < HOT.untilMs && random() < HOT.share) {
      return HOT.adapter;
    }
    const threshold = random() * total;
    const rank = bounds.findIndex((bound) => bound >= threshold);
    return ms < SHIFT_MS ? rank : (rank + 3_000) % ADAPTERS;
  };
  const servers = new Map(
    SERVERS.map((id) => [
      id,
      {
        demand: new AdapterDemand(),
        running: 0,
        resident: new Map<number, number>(),
      },
    ]),
  );
  const spreads = Array.from({length: HOSTS}, () => new AdapterSpreads());
  const completions: {dueMs: number; id: string}[] = [];
  let [loads, running, overloadedMs, spreadMs, peakOverload] = [0, 0, 0, 0, 0];
  const hot = {model: 'base', adapter: `a${HOT.adapter}`};
  const hotSpread = (ms: number) =>
    spreads.reduce(
      (sum, hostSpreads) => sum + hostSpreads.get(hot, at(ms)),
      0,
    ) / HOSTS;
  let [peakHotSpread, finalHotSpread] = [0, 0];
  const [home = ''] = rankByRendezvous(hot.adapter, SERVERS);
  for (let ms = 0; ms < PERIOD_MS;) {
    while ((completions[0]?.dueMs ?? Infinity) <= ms) {
      const server = servers.get(completions.shift()?.id ?? '');
      running -= 1;
      if (server !== undefined) {
        server.running -= 1;
      }
    }
    const hostSpreads = spreads[Math.floor(random() * HOSTS)];
    const adapter = drawAdapter(ms);
    const name = {model: 'base', adapter: `a${adapter}`};
    const ranked = rankByRendezvous(name.adapter, SERVERS);
    const limit = overloadThreshold(running / (SERVERS.length * SLOTS)) * SLOTS;
    const queried = new Set<string>();
    let chosen: string | undefined;
    while (chosen === undefined && queried.size < MAXIMUM_QUERIES) {
      const among = hostSpreads?.get(name, at(ms)) ?? 1;
      const preferred = ranked.slice(0, among);
      const id = nextCandidate(preferred, ranked, queried, random) ?? '';
      queried.add(id);
      const server = servers.get(id);
      server?.demand.recordRequest(name, among, at(ms));
      const requests = server?.running ?? 0;
      const context = {
        requests,
        overloadThreshold: limit,
        detectBursts,
      };
      const spread = server?.demand.spread(name, context, at(ms)) ?? 1;
      hostSpreads?.update(name, spread, at(ms));
      if (adapter === HOT.adapter && ms > HOT.fromMs && id === home) {
        spreadMs ||= spread > 1 ? ms - HOT.fromMs : 0;
        overloadedMs ||= requests >= limit ? ms - HOT.fromMs : 0;
      }
      chosen = requests < limit ? id : undefined;
    }
    chosen ??= [...queried].reduce((best, id) =>
      (servers.get(id)?.running ?? 0) < (servers.get(best)?.running ?? 0)
        ? id
        : best,
    );
    const server = servers.get(chosen);
    if (server !== undefined) {
      server.running += 1;
      running += 1;
      completions.push({dueMs: ms + RUN_MS, id: chosen});
      loads += server.resident.delete(adapter) ? 0 : 1;
      server.resident.set(adapter, ms);
      const [oldest] = server.resident.keys();
      if (server.resident.size > ADAPTER_SLOTS && oldest !== undefined) {
        server.resident.delete(oldest);
      }
      if (ms > HOT.fromMs && ms < HOT.untilMs) {
        peakOverload = Math.max(peakOverload, server.running / limit);
        peakHotSpread = Math.max(peakHotSpread, hotSpread(ms));
      }
    }
    if (ms > HOT.untilMs + 10_000 && finalHotSpread === 0) {
      finalHotSpread = hotSpread(ms);
    }
    const wave = 1 + WAVE.swing * Math.sin((2 * Math.PI * ms) / WAVE.periodMs);
    ms += 1_000 / (REQUESTS_PER_S * wave);
  }
  return {
    loads,
    overloadedMs,
    spreadMs,
    peakOverload,
    peakHotSpread,
    finalHotSpread,
  };
};

for (const seed of SEEDS) {
  test(`an adapter is spread as soon as it gets many requests (seed ${seed})`, (t) => {
    const withoutBursts = simulate(seed, false);
    const withBursts = simulate(seed, true);
    t.log({withoutBursts, withBursts});
    t.true(withoutBursts.spreadMs > 250 && withBursts.spreadMs < 150);
    // Highest ratio of a server's requests to the overload threshold.
    t.true(withoutBursts.peakOverload > 1.3 && withBursts.peakOverload < 1.2);
    t.true(withBursts.peakHotSpread > 3);
    t.is(withBursts.finalHotSpread, 1);
    // Spreading earlier costs additional loads.
    t.true(withBursts.loads < withoutBursts.loads * 1.06);
  });
}
