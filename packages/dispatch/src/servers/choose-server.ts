import type {Instant} from '@basilworks/core';

import {overloadThreshold} from './overload.js';
import {RendezvousCache} from './rendezvous-cache.js';
import type {Server} from './server-table.js';

/** Inputs to the choice between servers. */
export interface ChoiceContext {
  readonly at: Instant;
  readonly zone: string;
  /** Keys of servers that this request has already tried. */
  readonly tried: ReadonlySet<string>;
  /**
   * Time without any data while requests wait, after which a server counts as
   * unresponsive, milliseconds.
   */
  readonly silenceLimitMs: number;
  /** Share of the slots of all servers that are in use, where known. */
  readonly fleetOccupancy?: number | undefined;
  /** Whether new requests should avoid a server, by its key. */
  readonly avoids?: ((server: string) => boolean) | undefined;
  /** Random source for tie-breaking, 0 to 1. */
  readonly random: () => number;
}

/** Cost of a server in another zone, in slots: decides near ties only. */
export const OTHER_ZONE_COST = 0.15;

/** Cost of a failure share of 1, in loads of a full server. */
export const FAILURE_COST = 2;

/** Whether requests should avoid a server while others can take them. */
export const isUnhealthy = (
  {health, key}: Server,
  {at, silenceLimitMs, avoids}: ChoiceContext,
): boolean =>
  avoids?.(key) === true ||
  health.isPaused(at) ||
  health.needsCheck() ||
  health.silentMs(at) > silenceLimitMs;

/**
 * Returns the untried servers that are healthy, or all untried ones if none is.
 */
export const usableServers = (
  servers: readonly Server[],
  context: ChoiceContext,
): readonly Server[] => {
  const untried = servers.filter(({key}) => !context.tried.has(key));
  const healthy = untried.filter((server) => !isUnhealthy(server, context));
  return healthy.length > 0 ? healthy : untried;
};

/** Slots of a server divided by its long-term slowdown: its capacity. */
export const effectiveSlots = ({entry, health}: Server): number =>
  entry.slots / health.speed.longTermSlowdown;

/** Share of a server's capacity that is in use, 1 when it is full. */
export const occupancy = (server: Server, at: Instant): number =>
  server.health.load(at) / effectiveSlots(server);

/**
 * Returns the server with the least expected wait: free slots first, then
 * observed speed and failures, then the caller's own zone.
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
    const requests = health.load(context.at) + 1;
    const slowness =
      health.responseMs === undefined || fastestMs === Infinity
        ? 1
        : Math.max(1, health.responseMs / Math.max(1, fastestMs));
    const failures = health.failureShare - lowestFailures;
    const zone = entry.zone === context.zone ? 0 : OTHER_ZONE_COST;
    const cost =
      (requests * slowness + zone) / entry.slots + failures * FAILURE_COST;
    return {server, cost: cost * (1 + 0.02 * context.random())};
  });
  return costs.reduce<{server: Server; cost: number} | undefined>(
    (best, candidate) =>
      best === undefined || candidate.cost < best.cost ? candidate : best,
    undefined,
  )?.server;
};

/**
 * A server counts as slow when the mean event gap of its streams exceeds the
 * median of all servers by this ratio, and the floor: more than a large prompt
 * or a full batch causes on a healthy server.
 */
const SLOW_RATIO = 2.5;
const SLOW_FLOOR_MS = 100;

/**
 * Returns the servers that are neither much fuller nor much slower than the
 * others. Without this bound, a frequently used adapter overloads its home
 * server: all requests there slow down, and long answers miss their deadlines.
 */
export const withoutOverloaded = (
  servers: readonly Server[],
  at: Instant,
  fleetOccupancy = 0,
): readonly Server[] => {
  const occupancies = servers.map((server) => occupancy(server, at));
  const gapsMs = servers.map(({health}) => health.meanGapMs(at));
  const mean =
    occupancies.reduce((sum, share) => sum + share, 0) /
    Math.max(1, occupancies.length);
  const limit = overloadThreshold(Math.max(mean, fleetOccupancy));
  const slowMs = slowLimitMs(gapsMs);
  return servers.filter(
    (_server, index) =>
      (occupancies[index] ?? 0) < limit && (gapsMs[index] ?? 0) < slowMs,
  );
};

const slowLimitMs = (gapsMs: readonly (number | undefined)[]): number => {
  if (!gapsMs.some((gapMs) => (gapMs ?? 0) >= SLOW_FLOOR_MS)) {
    return SLOW_FLOOR_MS;
  }
  const knownMs = gapsMs
    .filter((gapMs) => gapMs !== undefined)
    .sort((first, second) => first - second);
  const medianMs = knownMs[Math.floor((knownMs.length - 1) / 2)] ?? Infinity;
  return Math.max(SLOW_FLOOR_MS, medianMs * SLOW_RATIO);
};

/** Ratio of current to typical slowness above which a server counts as slow. */
const CURRENTLY_SLOW_RATIO = 1.5;

const isCurrentlySlow = ({health: {speed}}: Server, at: Instant): boolean =>
  (speed.currentSlowness(at) ?? 0) >
  (speed.typicalSlowness(at) ?? 1) * CURRENTLY_SLOW_RATIO;

/** Rankings of the servers for requests with one key. */
export interface AffinityRanking {
  /** The usable servers, in the stable rendezvous ranking of the key. */
  readonly byAffinity: readonly Server[];
  /** Those that are not overloaded, in the same ranking. */
  readonly notOverloaded: readonly Server[];
  /** Those that are also not slower than usual at present. */
  readonly notSlowed: readonly Server[];
  /** All in the order in which to try them: the overloaded ones last. */
  readonly byPreference: readonly Server[];
}

/** Returns the items that are in `part`, a subset of them, in their order. */
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

/** Returns the items that are not in `part`, a subset of them, in their order. */
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

/** Ranks servers so that requests with the same key go to the same servers. */
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
  const overloaded = without(byAffinity, notOverloaded).sort(
    (one, other) => occupancy(one, at) - occupancy(other, at),
  );
  const notSlowed = notOverloaded.filter(
    (server) => !isCurrentlySlow(server, at),
  );
  return {
    byAffinity,
    notOverloaded,
    notSlowed,
    byPreference: [...notOverloaded, ...overloaded],
  };
};
