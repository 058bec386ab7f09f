import type {HostId, ZoneId} from '../identifiers.js';
import type {CoreState} from '../state.js';
import {rankByRendezvous} from './rendezvous.js';
import {liveHosts, silentSince} from './selectors.js';

/**
 * Number of hosts that one host relays copies to. With 5, a tree of two hops
 * spans 31 hosts of a zone, and no host answers more than five others.
 */
export const RELAY_FANOUT = 5;

/** Position of a host in its zone's relay tree. */
export interface RelayPlace {
  /** Host to query for copies; undefined for the zone's reader. */
  readonly parent: HostId | undefined;
  /** Hops from the zone's reader; zero for the reader itself. */
  readonly depth: number;
}

/**
 * The host that reads the platform for a zone and relays the copies: the first
 * of the zone's live hosts in rendezvous order, which all hosts agree on.
 * Silent hosts are excluded. Undefined if no host remains.
 */
export const zoneReader = (
  state: CoreState,
  zone: ZoneId,
): HostId | undefined => relayOrder(state, zone)[0];

/**
 * Returns this host's position in the relay tree, which spans the zone's live
 * hosts and has the zone's reader as its root. Hosts that disagree about which
 * hosts are live may briefly use different trees; each copy carries its age, so
 * none looks fresher than it is.
 */
export const relayPlace = (state: CoreState): RelayPlace => {
  const order = relayOrder(state, state.settings.zone);
  let index = order.indexOf(state.settings.host);
  if (index <= 0) {
    const isReader = index === 0 || order.length === 0;
    return {parent: isReader ? undefined : order[0], depth: isReader ? 0 : 1};
  }
  const parent = order[parentIndex(index)];
  let depth = 0;
  for (; index > 0; index = parentIndex(index)) {
    depth += 1;
  }
  return {parent, depth};
};

const parentIndex = (index: number): number =>
  Math.floor((index - 1) / RELAY_FANOUT);

const relayOrder = (state: CoreState, zone: ZoneId): readonly HostId[] =>
  rankByRendezvous(
    `reader/${zone}`,
    liveHosts(state)
      .filter((host) => host.zone === zone)
      .map(({host}) => host),
  ).filter((host) => silentSince(state, host) === undefined);
