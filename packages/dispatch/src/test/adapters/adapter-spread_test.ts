import {rankByRendezvous} from '@basilworks/core';
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  AdapterDemand,
  AdapterSpreads,
  overloadThreshold,
  nextCandidate,
} from '../../index.js';
import {at, SEEDS} from '../servers/plain-service-simulation.js';

/**
 * The pattern: few adapters get most of the requests, in waves; one that was
 * rare gets a sixth of all for a while; later others become popular.
 */
const SERVERS = Array.from({length: 42}, (_unused, index) => `s${index}`);
const HOSTS = 70;
const ADAPTERS = 10_000;
const POPULARITY_EXPONENT = 1.2;
const SLOTS = 24;
const PLACES = 11;
const REQUESTS_PER_S = 539;
const WAVE = {swing: 0.55, periodMs: 15_000};
const RUN_MS = 500;
const HOT = {adapter: 5_000, share: 0.16, fromMs: 15_000, untilMs: 21_000};
const SHIFT_MS = 30_000;
const PERIOD_MS = 36_000;

/** Servers that a host asks before it takes the least crowded of them. */
const ASKED = 3;

const play = (seed: number, followsBursts: boolean) => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  let total = 0;
  const bounds = Float64Array.from({length: ADAPTERS}, (_unused, rank) => {
    total += (rank + 1) ** -POPULARITY_EXPONENT;
    return total;
  });
  const draw = (ms: number) => {
    if (ms > HOT.fromMs && ms < HOT.untilMs && random() < HOT.share) {
      return HOT.adapter;
    }
    const sought = random() * total;
    const rank = bounds.findIndex((bound) => bound >= sought);
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
  const ends: {dueMs: number; id: string}[] = [];
  let [loads, running, crowdedMs, spreadMs, fullest] = [0, 0, 0, 0, 0];
  const hot = {model: 'base', adapter: `a${HOT.adapter}`};
  const hotSpread = (ms: number) =>
    spreads.reduce((sum, known) => sum + known.get(hot, at(ms)), 0) / HOSTS;
  let [hotMost, hotAfter] = [0, 0];
  const [home = ''] = rankByRendezvous(hot.adapter, SERVERS);
  for (let ms = 0; ms < PERIOD_MS;) {
    while ((ends[0]?.dueMs ?? Infinity) <= ms) {
      const server = servers.get(ends.shift()?.id ?? '');
      running -= 1;
      if (server !== undefined) {
        server.running -= 1;
      }
    }
    const known = spreads[Math.floor(random() * HOSTS)];
    const adapter = draw(ms);
    const name = {model: 'base', adapter: `a${adapter}`};
    const ranked = rankByRendezvous(name.adapter, SERVERS);
    const limit = overloadThreshold(running / (SERVERS.length * SLOTS)) * SLOTS;
    const asked = new Set<string>();
    let chosen: string | undefined;
    while (chosen === undefined && asked.size < ASKED) {
      const among = known?.get(name, at(ms)) ?? 1;
      const near = ranked.slice(0, among);
      const id = nextCandidate(near, ranked, asked, random) ?? '';
      asked.add(id);
      const server = servers.get(id);
      server?.demand.recordRequest(name, among, at(ms));
      const requests = server?.running ?? 0;
      const context = {
        requests,
        overloadThreshold: limit,
        detectBursts: followsBursts,
      };
      const spread = server?.demand.spread(name, context, at(ms)) ?? 1;
      known?.update(name, spread, at(ms));
      if (adapter === HOT.adapter && ms > HOT.fromMs && id === home) {
        spreadMs ||= spread > 1 ? ms - HOT.fromMs : 0;
        crowdedMs ||= requests >= limit ? ms - HOT.fromMs : 0;
      }
      chosen = requests < limit ? id : undefined;
    }
    chosen ??= [...asked].reduce((best, id) =>
      (servers.get(id)?.running ?? 0) < (servers.get(best)?.running ?? 0)
        ? id
        : best,
    );
    const server = servers.get(chosen);
    if (server !== undefined) {
      server.running += 1;
      running += 1;
      ends.push({dueMs: ms + RUN_MS, id: chosen});
      loads += server.resident.delete(adapter) ? 0 : 1;
      server.resident.set(adapter, ms);
      const [oldest] = server.resident.keys();
      if (server.resident.size > PLACES && oldest !== undefined) {
        server.resident.delete(oldest);
      }
      if (ms > HOT.fromMs && ms < HOT.untilMs) {
        fullest = Math.max(fullest, server.running / limit);
        hotMost = Math.max(hotMost, hotSpread(ms));
      }
    }
    if (ms > HOT.untilMs + 10_000 && hotAfter === 0) {
      hotAfter = hotSpread(ms);
    }
    const wave = 1 + WAVE.swing * Math.sin((2 * Math.PI * ms) / WAVE.periodMs);
    ms += 1_000 / (REQUESTS_PER_S * wave);
  }
  return {loads, crowdedMs, spreadMs, fullest, hotMost, hotAfter};
};

for (const seed of SEEDS) {
  test(`an adapter is spread as soon as it is asked for often (seed ${seed})`, (t) => {
    const before = play(seed, false);
    const bursts = play(seed, true);
    t.log({before, bursts});
    t.true(before.spreadMs > 250 && bursts.spreadMs < 150);
    // Requests at the fullest server against what counts as crowded.
    t.true(before.fullest > 1.3 && bursts.fullest < 1.2);
    t.true(bursts.hotMost > 3);
    t.is(bursts.hotAfter, 1);
    // What the earlier copies cost.
    t.true(bursts.loads < before.loads * 1.06);
  });
}
