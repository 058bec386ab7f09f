import type {ServerId, ZoneId} from '../identifiers.js';
import {compareText} from '../lib/compare-text.js';
import type {EntryHost, HostList, ServerDescription} from '../server.js';
import type {WeightedCandidate} from './rendezvous.js';
import type {MembershipState} from './state.js';

/** Indexes derived from the host list and from announced departures. */
export interface MembershipView {
  /** Entry hosts that accept work, ordered by name. */
  readonly liveHosts: readonly EntryHost[];
  /** Candidates for the home host of a key. */
  readonly homeCandidates: readonly WeightedCandidate[];
  readonly servers: ReadonlyMap<ServerId, ServerDescription>;
  /** Live servers by pool, ordered by name. */
  readonly pools: ReadonlyMap<string, readonly ServerDescription[]>;
  /** Zones of this host and of listed hosts and servers, ordered by name. */
  readonly zones: readonly ZoneId[];
}

/** Computes the indexes; repeated when any state that they use changes. */
export const deriveView = (
  membership: Omit<MembershipState, 'view'>,
): MembershipView => {
  const hostList = membership.hostList ?? EMPTY_HOST_LIST;
  const hosts = hostList.entryHosts
    .filter((host) => acceptsWork(membership, host))
    .sort((first, second) => compareText(first.host, second.host));
  const liveServers = hostList.servers
    .filter(({state}) => state === 'live')
    .sort((first, second) => compareText(first.server, second.server));
  const zones = new Set([
    membership.settings.zone,
    ...hostList.entryHosts.map(({zone}) => zone),
    ...hostList.servers.map(({zone}) => zone),
  ]);
  return {
    liveHosts: hosts,
    homeCandidates: toHomeCandidates(hosts, liveServers),
    servers: new Map(
      hostList.servers.map((server) => [server.server, server] as const),
    ),
    pools: groupByPool(liveServers),
    zones: [...zones].sort(compareText),
  };
};

const EMPTY_HOST_LIST: HostList = {version: 0, entryHosts: [], servers: []};

/** Total weight of the hosts of a zone that has no live server. */
const SERVERLESS_ZONE_WEIGHT = 0.25;

const acceptsWork = (
  {settings, standing, announcedLeaving}: Omit<MembershipState, 'view'>,
  {host, state}: EntryHost,
): boolean =>
  state === 'live' &&
  !announcedLeaving.has(host) &&
  (host !== settings.host || standing === 'serving');

const toHomeCandidates = (
  hosts: readonly EntryHost[],
  servers: readonly ServerDescription[],
): readonly WeightedCandidate[] => {
  const hostCounts = countByZone(hosts);
  const serverCounts = countByZone(servers);
  return hosts.map(({host, zone}) => ({
    name: host,
    weight:
      (serverCounts.get(zone) ?? SERVERLESS_ZONE_WEIGHT) /
      (hostCounts.get(zone) ?? 1),
  }));
};

const countByZone = (
  items: readonly {readonly zone: ZoneId}[],
): ReadonlyMap<ZoneId, number> => {
  const counts = new Map<ZoneId, number>();
  for (const {zone} of items) {
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
};

const groupByPool = (
  servers: readonly ServerDescription[],
): ReadonlyMap<string, readonly ServerDescription[]> => {
  const pools = new Map<string, ServerDescription[]>();
  for (const server of servers) {
    const pool = pools.get(server.pool) ?? [];
    pool.push(server);
    pools.set(server.pool, pool);
  }
  return pools;
};
