import type {HostId, ServerId, ZoneId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import {compareText} from '../lib/compare-text.js';
import {listedZones, liveHosts} from '../membership/selectors.js';
import type {CoreState} from '../state.js';
import {isClaimBeyondDispute, isRecordFresh} from './validity.js';

/** Who owns a server, to this host's knowledge; undefined when nobody does. */
export const ownerOf = (
  {ownership}: CoreState,
  server: ServerId,
): HostId | undefined => ownership.owners.get(server);

/**
 * Whether this host may send work and orders to a server at this instant.
 * Checked in the same loop turn as each socket write.
 */
export const mayAct = (
  state: CoreState,
  server: ServerId,
  at: Instant,
): boolean => {
  const holding = state.ownership.holdings.get(server);
  return (
    holding?.phase.kind === 'active' &&
    (isRecordFresh(state, holding.zone, at) ||
      isClaimBeyondDispute(state, server, holding.zone, at))
  );
};

/** Fencing number of this host's claim on a server, zero without one. */
export const fencingNumberOf = (
  {ownership}: CoreState,
  server: ServerId,
): number => ownership.holdings.get(server)?.fencingNumber ?? 0;

/** Servers that this host owns, ordered by name. */
export const ownedServers = ({ownership}: CoreState): readonly ServerId[] =>
  [...ownership.holdings.values()]
    .filter(({phase}) => phase.kind === 'active')
    .map(({server}) => server)
    .sort(compareText);

/** Zones in whose records this host holds claims. */
export const claimedZones = ({ownership}: CoreState): readonly ZoneId[] => [
  ...new Set([...ownership.holdings.values()].map(({zone}) => zone)),
];

/**
 * Zones whose servers this host may come to own: its own, those without a live
 * host, and those in which it holds claims.
 */
export const concernedZones = (state: CoreState): readonly ZoneId[] => {
  const {zone: ownZone} = state.settings;
  const inhabited = new Set(liveHosts(state).map(({zone}) => zone));
  const claimed = claimedZones(state);
  return listedZones(state).filter(
    (zone) =>
      zone === ownZone || !inhabited.has(zone) || claimed.includes(zone),
  );
};

/** Hosts that hold claims in the zones that concern this host. */
export const concerningOwners = (state: CoreState): readonly HostId[] => [
  ...new Set(
    concernedZones(state).flatMap((zone) =>
      Object.values(state.ownership.zones.get(zone)?.record.claims ?? {}).map(
        ({owner}) => owner,
      ),
    ),
  ),
];
