import type {HostId, ZoneId} from '../identifiers.js';
import type {CoreState} from '../state.js';
import {rankByRendezvous} from './rendezvous.js';
import {liveHosts, silentSince} from './selectors.js';

/**
 * Hosts that one host relays copies to. With it, two steps reach 31 hosts of a
 * zone, and no host answers more than five others.
 */
export const RELAY_FANOUT = 5;

/** A host's place in its zone's relay tree. */
export interface RelayPlace {
  /** Host that copies come from; undefined for the zone's reader. */
  readonly parent: HostId | undefined;
  /** Steps from the zone's reader; zero for the reader itself. */
  readonly depth: number;
}

/**
 * The host that reads the platform for a zone and relays it: the first of the
 * zone's live hosts in an order that all hosts agree on, silent ones left out.
 * Undefined when the zone has no live host.
 */
export const zoneReader = (
  state: CoreState,
  zone: ZoneId,
): HostId | undefined => relayOrder(state, zone)[0];

/**
 * Where this host gets its copies from: a tree over the zone's live hosts whose
 * root is the zone's reader. Hosts that disagree about who lives may form
 * another tree for a moment; each copy carries its age, so none looks fresher.
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
