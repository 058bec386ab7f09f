import {rankByRendezvous} from '@basilworks/core';
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  AdapterDemand,
  AdapterSpreads,
  nextCandidate,
  overloadThreshold,
  ServerDemand,
} from '../../index.js';

/**
 * The load: a few adapters get most of the requests, which arrive through so
 * many hosts that none of them sends much to any server.
 */
const SERVERS = Array.from({length: 65}, (_unused, index) => `s${index}`);
const HOSTS = 195;
const ADAPTERS = 24_000;
const POPULARITY_EXPONENT = 1.2;
const SLOTS = 12;
const REQUESTS_PER_SECOND = 420;
const SERVICE_MS = 900;
const DURATION_MS = 30_000;

/** Servers that a host queries before it chooses the least loaded of them. */
const MAX_QUERIED_SERVERS = 3;

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

/**
 * Simulates the load. Returns the ratio of the busiest server's requests to the
 * mean. If `aggregated`, issuers know the requests of all hosts; otherwise each
 * host knows only its own.
 */
const simulate = (seed: number, aggregated: boolean): number => {
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
  const ownRequests = new Map<string, number>();
  const pendingEnds: {dueMs: number; host: number; server: string}[] = [];
  const served = new Map<string, number>();
  const rankings = new Map<number, readonly string[]>();
  const requestsAt = (id: string, ms: number) =>
    demand.get(id)?.requests(() => true, at(ms)) ?? 0;
  const changeRequests = (
    host: number,
    id: string,
    change: number,
    ms: number,
  ) => {
    const key = `${host} ${id}`;
    const requests = (ownRequests.get(key) ?? 0) + change;
    ownRequests.set(key, requests);
    demand.get(id)?.applyReport(`h${host}`, requests, at(ms));
  };
  for (let ms = 0; ms < DURATION_MS; ms += 1_000 / REQUESTS_PER_SECOND) {
    while ((pendingEnds[0]?.dueMs ?? Infinity) <= ms) {
      const ended = pendingEnds.shift();
      if (ended !== undefined) {
        changeRequests(ended.host, ended.server, -1, ms);
      }
    }
    const host = Math.floor(random() * HOSTS);
    const adapter = draw();
    const ranked =
      rankings.get(adapter) ?? rankByRendezvous(`a${adapter}`, SERVERS);
    rankings.set(adapter, ranked);
    const mean = pendingEnds.length / (SERVERS.length * SLOTS);
    const knownOccupancy = (id: string) =>
      (aggregated
        ? requestsAt(id, ms)
        : (ownRequests.get(`${host} ${id}`) ?? 0)) / SLOTS;
    const name = {model: 'base', adapter: `a${adapter}`};
    const queried = new Set<string>();
    const accepts = (id: string, spread: number) => {
      if (!aggregated) {
        return knownOccupancy(id) < overloadThreshold(mean);
      }
      const issuer = adapters.get(id);
      issuer?.recordRequest(name, spread, at(ms));
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
    while (chosen === undefined && queried.size < MAX_QUERIED_SERVERS) {
      const spread = spreads[host]?.get(name, at(ms)) ?? 1;
      const preferred = ranked.slice(0, spread);
      const id = nextCandidate(preferred, ranked, queried, random) ?? '';
      queried.add(id);
      chosen = accepts(id, spread) ? id : undefined;
    }
    chosen ??= [...queried].reduce((best, id) =>
      knownOccupancy(id) < knownOccupancy(best) ? id : best,
    );
    changeRequests(host, chosen, 1, ms);
    pendingEnds.push({dueMs: ms + SERVICE_MS, host, server: chosen});
    if (ms > DURATION_MS / 3) {
      served.set(chosen, (served.get(chosen) ?? 0) + 1);
    }
  }
  const counts = SERVERS.map((id) => served.get(id) ?? 0);
  const meanCount = counts.reduce((sum, each) => sum + each, 0) / counts.length;
  return Math.max(...counts) / meanCount;
};

for (const seed of [1, 2, 3, 4, 5]) {
  test(`popular adapters do not overload a server (seed ${seed})`, (t) => {
    const ownOnly = simulate(seed, false);
    const aggregated = simulate(seed, true);
    t.log({ownOnly, aggregated});
    // With only their own requests known, hosts overload one server.
    t.true(ownOnly > 3);
    // Averaged over time, no server is above the overload threshold.
    const mean =
      (REQUESTS_PER_SECOND * SERVICE_MS) / 1_000 / (SERVERS.length * SLOTS);
    t.true(aggregated <= overloadThreshold(mean) / mean);
  });
}
