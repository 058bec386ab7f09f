import {rankByRendezvous} from '@basilworks/core';
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  AdapterDemand,
  AdapterSpreads,
  overloadThreshold,
  nextCandidate,
  ServerDemand,
} from '../../index.js';

/**
 * The pattern: a few adapters get most of the requests, which come through so
 * many hosts that none of them sends much to any server.
 */
const SERVERS = Array.from({length: 65}, (_unused, index) => `s${index}`);
const HOSTS = 195;
const ADAPTERS = 24_000;
const POPULARITY_EXPONENT = 1.2;
const SLOTS = 12;
const REQUESTS_PER_S = 420;
const RUN_MS = 900;
const PERIOD_MS = 30_000;

/** Servers that a host asks before it takes the least crowded of them. */
const ASKED = 3;

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

/** Plays the load; returns how full the busiest server is against the mean. */
const play = (seed: number, issuersKnow: boolean): number => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const weights = Array.from(
    {length: ADAPTERS},
    (_unused, rank) => (rank + 1) ** -POPULARITY_EXPONENT,
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const draw = () => {
    let left = random() * total;
    return Math.max(
      0,
      weights.findIndex((weight) => (left -= weight) <= 0),
    );
  };
  const demand = new Map(SERVERS.map((id) => [id, new ServerDemand()]));
  const adapters = new Map(SERVERS.map((id) => [id, new AdapterDemand()]));
  const spreads = Array.from({length: HOSTS}, () => new AdapterSpreads());
  const own = new Map<string, number>();
  const ends: {dueMs: number; host: number; server: string}[] = [];
  const served = new Map<string, number>();
  const rankings = new Map<number, readonly string[]>();
  const requestsAt = (id: string, ms: number) =>
    demand.get(id)?.requests(() => true, at(ms)) ?? 0;
  const count = (host: number, id: string, by: number, ms: number) => {
    const key = `${host} ${id}`;
    const requests = (own.get(key) ?? 0) + by;
    own.set(key, requests);
    demand.get(id)?.applyReport(`h${host}`, requests, at(ms));
  };
  for (let ms = 0; ms < PERIOD_MS; ms += 1_000 / REQUESTS_PER_S) {
    while ((ends[0]?.dueMs ?? Infinity) <= ms) {
      const ended = ends.shift();
      if (ended !== undefined) {
        count(ended.host, ended.server, -1, ms);
      }
    }
    const host = Math.floor(random() * HOSTS);
    const adapter = draw();
    const ranked =
      rankings.get(adapter) ?? rankByRendezvous(`a${adapter}`, SERVERS);
    rankings.set(adapter, ranked);
    const mean = ends.length / (SERVERS.length * SLOTS);
    const known = (id: string) =>
      (issuersKnow ? requestsAt(id, ms) : (own.get(`${host} ${id}`) ?? 0)) /
      SLOTS;
    const name = {model: 'base', adapter: `a${adapter}`};
    const asked = new Set<string>();
    const accepts = (id: string, among: number) => {
      if (!issuersKnow) {
        return known(id) < overloadThreshold(mean);
      }
      const issuer = adapters.get(id);
      issuer?.recordRequest(name, among, at(ms));
      const limit = overloadThreshold(mean) * SLOTS;
      const requests = requestsAt(id, ms);
      const servers = issuer?.spread(
        name,
        {requests, overloadThreshold: limit},
        at(ms),
      );
      spreads[host]?.update(name, servers ?? 1, at(ms));
      return requests < limit;
    };
    let chosen: string | undefined;
    while (chosen === undefined && asked.size < ASKED) {
      const among = spreads[host]?.get(name, at(ms)) ?? 1;
      const near = ranked.slice(0, among);
      const id = nextCandidate(near, ranked, asked, random) ?? '';
      asked.add(id);
      chosen = accepts(id, among) ? id : undefined;
    }
    chosen ??= [...asked].reduce((best, id) =>
      known(id) < known(best) ? id : best,
    );
    count(host, chosen, 1, ms);
    ends.push({dueMs: ms + RUN_MS, host, server: chosen});
    if (ms > PERIOD_MS / 3) {
      served.set(chosen, (served.get(chosen) ?? 0) + 1);
    }
  }
  const counts = SERVERS.map((id) => served.get(id) ?? 0);
  const meanCount = counts.reduce((sum, each) => sum + each, 0) / counts.length;
  return Math.max(...counts) / meanCount;
};

for (const seed of [1, 2, 3, 4, 5]) {
  test(`often used adapters fill no server far beyond the others (seed ${seed})`, (t) => {
    const blind = play(seed, false);
    const informed = play(seed, true);
    t.log({blind, informed});
    // What hosts see of their own requests alone leaves one server far fuller.
    t.true(blind > 3);
    // On average no server is crowded, by what counts as crowded.
    const mean = (REQUESTS_PER_S * RUN_MS) / 1_000 / (SERVERS.length * SLOTS);
    t.true(informed <= overloadThreshold(mean) / mean);
  });
}
