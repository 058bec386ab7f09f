import type {HostId, Incarnation, ServerId, ZoneId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {EntryHost, ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';
import {chooseByRendezvous} from './rendezvous.js';
import type {RecordCopy, Standing} from './state.js';

/** Entry hosts that accept work, this one included, ordered by name. */
export const liveHosts = ({membership}: CoreState): readonly EntryHost[] =>
  membership.view.liveHosts;

/** Entry hosts of the host list, leaving ones included. */
export const listedHosts = ({membership}: CoreState): readonly EntryHost[] =>
  membership.hostList?.entryHosts ?? [];

/**
 * Other listed hosts that may take over this zone's claims: those of the zone,
 * or those of all zones if this host is its only one.
 */
export const possibleTakers = (state: CoreState): readonly EntryHost[] => {
  const {host: self, zone} = state.settings;
  const others = listedHosts(state).filter(({host}) => host !== self);
  const neighbours = others.filter((host) => host.zone === zone);
  return neighbours.length > 0 ? neighbours : others;
};

/** The description of a server; undefined if the host list omits it. */
export const describeServer = (
  {membership}: CoreState,
  server: ServerId,
): ServerDescription | undefined => membership.view.servers.get(server);

/** All servers of the host list, leaving ones included. */
export const listedServers = ({
  membership,
}: CoreState): readonly ServerDescription[] =>
  membership.hostList?.servers ?? [];

/** Live servers of a pool, which may get new work, ordered by name. */
export const serversOfPool = (
  {membership}: CoreState,
  pool: string,
): readonly ServerDescription[] => membership.view.pools.get(pool) ?? [];

/**
 * Returns the home host of a key, such as an adapter, by rendezvous hashing
 * over the live entry hosts. A zone's hosts together get keys in proportion to
 * the zone's share of the live servers.
 */
export const homeOf = (
  {membership, settings}: CoreState,
  key: string,
): HostId =>
  chooseByRendezvous(key, membership.view.homeCandidates) ?? settings.host;

/** Phase of this host's life in the deployment. */
export const standingOf = ({membership}: CoreState): Standing =>
  membership.standing;

/** This host's copy of an object; undefined before its first use. */
export const recordCopy = (
  {membership}: CoreState,
  kind: string,
  name: string,
): RecordCopy | undefined => membership.records.get(recordKey(kind, name));

/** Start of the newest read of the host list, by whichever host. */
export const hostListReadAt = ({membership}: CoreState): Instant | undefined =>
  membership.hostListReadAt;

/** Incarnation of a host as it last answered, this host's own included. */
export const incarnationOf = (
  {membership}: CoreState,
  host: HostId,
): Incarnation | undefined =>
  host === membership.settings.host
    ? membership.identity.incarnation
    : membership.peers.get(host)?.incarnation;

/** When this host sent the query that a peer's newest answer belongs to. */
export const answeredQueryAt = (
  {membership}: CoreState,
  host: HostId,
): Instant | undefined => membership.peers.get(host)?.answeredQueryAt;

/** Since when a peer has not answered this host; undefined if it has. */
export const silentSince = (
  {membership}: CoreState,
  host: HostId,
): Instant | undefined => membership.peers.get(host)?.silentSince;

/** Zones of the listed hosts and servers and this host's, ordered by name. */
export const listedZones = ({membership}: CoreState): readonly ZoneId[] =>
  membership.view.zones;

/** Key of an object in the index of copies. */
export const recordKey = (kind: string, name: string): string =>
  `${kind}/${name}`;
