import type {Instant} from '@basilworks/core';

import {overloadThreshold} from './overload.js';
import {RendezvousCache} from './rendezvous-cache.js';
import type {Server} from './server-table.js';

/** What a choice between servers depends on. */
export interface ChoiceContext {
  readonly at: Instant;
  readonly zone: string;
  /** Keys of servers that this request has tried. */
  readonly tried: ReadonlySet<string>;
  /** Silence with requests waiting after which a server counts as dark. */
  readonly silenceLimitMs: number;
  /** Share of the places of all servers that are taken, where it is known. */
  readonly fleetOccupancy?: number | undefined;
  /** Whether requests are kept off a server, by its key. */
  readonly avoids?: ((server: string) => boolean) | undefined;
  /** Breaks ties, 0 to 1. */
  readonly random: () => number;
}

/** Cost of a server in another zone, in places: breaks near ties only. */
export const OTHER_ZONE_COST = 0.15;

/** How much a failing server is avoided, in loads of a whole server. */
export const FAILURE_COST = 2;

/** Whether requests should be kept off a server if others can take them. */
export const isUnhealthy = (
  {health, key}: Server,
  {at, silenceLimitMs, avoids}: ChoiceContext,
): boolean =>
  avoids?.(key) === true ||
  health.isPaused(at) ||
  health.needsCheck() ||
  health.silentMs(at) > silenceLimitMs;

/** Returns the servers that are worth a try, or all if none is. */
export const usableServers = (
  servers: readonly Server[],
  context: ChoiceContext,
): readonly Server[] => {
  const fresh = servers.filter(({key}) => !context.tried.has(key));
  const sound = fresh.filter((server) => !isUnhealthy(server, context));
  return sound.length > 0 ? sound : fresh;
};

/** Places that a server is worth, as a slower one does less with each. */
export const effectiveSlots = ({entry, health}: Server): number =>
  entry.slots / health.speed.longTermSlowdown;

/** Share of what a server can do that is taken, 1 when it is full. */
export const occupancy = (server: Server, at: Instant): number =>
  server.health.load(at) / effectiveSlots(server);

/**
 * Returns the server with the least expected wait: free places first, then
 * speed and failures seen, then the caller's own zone.
 */
export const chooseLeastLoaded = (
  servers: readonly Server[],
  context: ChoiceContext,
): Server | undefined => {
  const usable = usableServers(servers, context);
  const fastestMs = Math.min(
    ...usable.map(({health}) => health.responseMs ?? Infinity),
  );
  const lowestFailures = Math.min(
    ...usable.map(({health}) => health.failureShare),
  );
  const costs = usable.map((server) => {
    const {health, entry} = server;
    const places = health.load(context.at) + 1;
    const slowness =
      health.responseMs === undefined || fastestMs === Infinity
        ? 1
        : Math.max(1, health.responseMs / Math.max(1, fastestMs));
    const failures = health.failureShare - lowestFailures;
    const zone = entry.zone === context.zone ? 0 : OTHER_ZONE_COST;
    const cost =
      (places * slowness + zone) / entry.slots + failures * FAILURE_COST;
    return {server, cost: cost * (1 + 0.02 * context.random())};
  });
  return costs.reduce<{server: Server; cost: number} | undefined>(
    (best, candidate) =>
      best === undefined || candidate.cost < best.cost ? candidate : best,
    undefined,
  )?.server;
};

/**
 * Pace of a server's streams above which it counts as slow, given the median of
 * all: beyond what a large prompt or a full batch does to a healthy one.
 */
const SLOW_SHARE = 2.5;
const SLOW_FLOOR_MS = 100;

/**
 * Returns the servers that are neither much fuller nor much slower than the
 * others. Without this bound, the server that an often used adapter falls to is
 * crowded: all that it runs is slower, and long answers do not end in time.
 */
export const withoutOverloaded = (
  servers: readonly Server[],
  at: Instant,
  fleetOccupancy = 0,
): readonly Server[] => {
  const taken = servers.map((server) => occupancy(server, at));
  const paces = servers.map(({health}) => health.meanGapMs(at));
  const mean =
    taken.reduce((sum, share) => sum + share, 0) / Math.max(1, taken.length);
  const limit = overloadThreshold(Math.max(mean, fleetOccupancy));
  const slowMs = slowLimitMs(paces);
  return servers.filter(
    (_server, index) =>
      (taken[index] ?? 0) < limit && (paces[index] ?? 0) < slowMs,
  );
};

const slowLimitMs = (paces: readonly (number | undefined)[]): number => {
  if (!paces.some((pace) => (pace ?? 0) >= SLOW_FLOOR_MS)) {
    return SLOW_FLOOR_MS;
  }
  const known = paces
    .filter((pace) => pace !== undefined)
    .sort((first, second) => first - second);
  const median = known[Math.floor((known.length - 1) / 2)] ?? Infinity;
  return Math.max(SLOW_FLOOR_MS, median * SLOW_SHARE);
};

/** Slowness against the usual of a server from which it counts as slow now. */
const SLOW_NOW_FROM = 1.5;

const isSlowNow = ({health: {speed}}: Server, at: Instant): boolean =>
  (speed.currentSlowness(at) ?? 0) >
  (speed.typicalSlowness(at) ?? 1) * SLOW_NOW_FROM;

/** Where requests for one key should go. */
export interface AffinityRanking {
  /** The servers that are worth a try, by a stable ranking for each key. */
  readonly byAffinity: readonly Server[];
  /** Those that are not crowded, by the same ranking. */
  readonly notOverloaded: readonly Server[];
  /** Those that are roomy and not slower than usual just now. */
  readonly notSlowed: readonly Server[];
  /** All in the order in which they should be tried: the crowded ones last. */
  readonly byPreference: readonly Server[];
}

/** Returns those of the items that are in a part of them, in their order. */
const only = (
  items: readonly Server[],
  part: readonly Server[],
): readonly Server[] => {
  if (part.length === items.length) {
    return items;
  }
  const kept = new Set(part);
  return items.filter((item) => kept.has(item));
};

const without = (
  items: readonly Server[],
  part: readonly Server[],
): Server[] => {
  if (part.length === items.length) {
    return [];
  }
  const left = new Set(part);
  return items.filter((item) => !left.has(item));
};

/** Ranks servers for requests that should meet where their key is kept. */
export const rankByAffinity = (
  key: string,
  servers: readonly Server[],
  context: ChoiceContext,
  cache = new RendezvousCache(),
): AffinityRanking => {
  const usable = usableServers(servers, context);
  const byAffinity = only(cache.rank(key, servers), usable);
  const {at, fleetOccupancy} = context;
  const notOverloaded = withoutOverloaded(byAffinity, at, fleetOccupancy);
  const crowded = without(byAffinity, notOverloaded).sort(
    (one, other) => occupancy(one, at) - occupancy(other, at),
  );
  const notSlowed = notOverloaded.filter((server) => !isSlowNow(server, at));
  return {
    byAffinity,
    notOverloaded,
    notSlowed,
    byPreference: [...notOverloaded, ...crowded],
  };
};
