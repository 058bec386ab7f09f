import type {HostId, Incarnation, ServerId, ZoneId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {EntryHost, ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';
import {chooseByRendezvous} from './rendezvous.js';
import type {RecordCopy, Standing} from './state.js';

/** Entry hosts that take work, this one included, ordered by name. */
export const liveHosts = ({membership}: CoreState): readonly EntryHost[] =>
  membership.view.liveHosts;

/** Entry hosts that the host list names, leaving ones included. */
export const listedHosts = ({membership}: CoreState): readonly EntryHost[] =>
  membership.hostList?.entryHosts ?? [];

/**
 * Other listed hosts that may take this zone's claims: those of the zone, or
 * all where it has no other host.
 */
export const possibleTakers = (state: CoreState): readonly EntryHost[] => {
  const {host: self, zone} = state.settings;
  const others = listedHosts(state).filter(({host}) => host !== self);
  const neighbours = others.filter((host) => host.zone === zone);
  return neighbours.length > 0 ? neighbours : others;
};

/** The description of a server, or undefined when the host list has none. */
export const describeServer = (
  {membership}: CoreState,
  server: ServerId,
): ServerDescription | undefined => membership.view.servers.get(server);

/** All servers of the host list, leaving ones included. */
export const listedServers = ({
  membership,
}: CoreState): readonly ServerDescription[] =>
  membership.hostList?.servers ?? [];

/** Live servers of a pool that may get new work, ordered by name. */
export const serversOfPool = (
  {membership}: CoreState,
  pool: string,
): readonly ServerDescription[] => membership.view.pools.get(pool) ?? [];

/**
 * The home of a key (an adapter): rendezvous hash over the live entry hosts.
 * A zone's hosts together get as many keys as its share of the live servers.
 */
export const homeOf = (
  {membership, settings}: CoreState,
  key: string,
): HostId =>
  chooseByRendezvous(key, membership.view.homeCandidates) ?? settings.host;

/** How far this host takes part in the deployment. */
export const standingOf = ({membership}: CoreState): Standing =>
  membership.standing;

/** This host's copy of an object that all hosts keep a copy of. */
export const recordCopy = (
  {membership}: CoreState,
  kind: string,
  name: string,
): RecordCopy | undefined => membership.records.get(recordKey(kind, name));

/** When the host list was read last, by whichever host; start of the read. */
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

/** When this host asked for what a peer's newest answer told. */
export const answeredQueryAt = (
  {membership}: CoreState,
  host: HostId,
): Instant | undefined => membership.peers.get(host)?.answeredQueryAt;

/** Since when a peer has left this host's asks without an answer. */
export const silentSince = (
  {membership}: CoreState,
  host: HostId,
): Instant | undefined => membership.peers.get(host)?.silentSince;

/** Zones that the host list names, ordered by name. */
export const listedZones = ({membership}: CoreState): readonly ZoneId[] =>
  membership.view.zones;

/** Key of an object in the index of copies. */
export const recordKey = (kind: string, name: string): string =>
  `${kind}/${name}`;
