import {type Instant, rankByRendezvous} from '@basilworks/core';

import type {Server} from './server-table.js';

/** What a choice between servers depends on. */
export interface ChoiceContext {
  readonly at: Instant;
  readonly zone: string;
  /** Keys of servers that this request has tried. */
  readonly tried: ReadonlySet<string>;
  /** Silence with requests waiting after which a server counts as dark. */
  readonly silenceLimitMs: number;
  /** Breaks ties, 0 to 1. */
  readonly random: () => number;
}

/** Cost of a server in another zone, in places: breaks near ties only. */
const OTHER_ZONE_COST = 0.15;

/** How much a failing server is avoided, in loads of a whole server. */
const FAILURE_COST = 2;

/** Share of its slots up to which a server counts as having room. */
const ROOMY_SHARE = 0.9;

/** Whether requests should be kept off a server if others can take them. */
export const isDoubtful = (
  {evidence}: Server,
  {at, silenceLimitMs}: ChoiceContext,
): boolean =>
  evidence.paused(at) ||
  evidence.needsCheck() ||
  evidence.silentMs(at) > silenceLimitMs;

/** Returns the servers that are worth a try, or all if none is. */
export const usableServers = (
  servers: readonly Server[],
  context: ChoiceContext,
): readonly Server[] => {
  const fresh = servers.filter(({key}) => !context.tried.has(key));
  const sound = fresh.filter((server) => !isDoubtful(server, context));
  return sound.length > 0 ? sound : fresh;
};

/** Share of a server's places that are taken, 1 when it is full. */
export const occupancy = (server: Server, at: Instant): number =>
  server.evidence.load(at) / server.entry.slots;

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
    ...usable.map(({evidence}) => evidence.responseMs ?? Infinity),
  );
  const lowestFailures = Math.min(
    ...usable.map(({evidence}) => evidence.failureShare),
  );
  const costs = usable.map((server) => {
    const {evidence, entry} = server;
    const places = evidence.load(context.at) + 1;
    const slowness =
      evidence.responseMs === undefined || fastestMs === Infinity
        ? 1
        : Math.max(1, evidence.responseMs / Math.max(1, fastestMs));
    const failures = evidence.failureShare - lowestFailures;
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
 * Returns the servers in the order in which requests for `key` should try
 * them: a stable ranking for each key, those without room last.
 */
export const rankByAffinity = (
  key: string,
  servers: readonly Server[],
  context: ChoiceContext,
): readonly Server[] => {
  const usable = usableServers(servers, context);
  const byId = new Map(usable.map((server) => [server.entry.id, server]));
  const ranked = rankByRendezvous(key, [...byId.keys()]).flatMap(
    (id) => byId.get(id) ?? [],
  );
  const roomy = ranked.filter(
    (server) => occupancy(server, context.at) < ROOMY_SHARE,
  );
  const full = ranked
    .filter((server) => !roomy.includes(server))
    .sort(
      (first, second) =>
        occupancy(first, context.at) - occupancy(second, context.at),
    );
  return [...roomy, ...full];
};
