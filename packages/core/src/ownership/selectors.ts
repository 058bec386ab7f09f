import type {HostId, ServerId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {CoreState} from '../state.js';

/** Who owns a server, to this host's knowledge; undefined when nobody does. */
export const ownerOf = (
  _state: CoreState,
  _server: ServerId,
): HostId | undefined => undefined;

/**
 * Whether this host may send work and orders to a server at this instant.
 * Checked in the same loop turn as each socket write.
 */
export const mayAct = (
  _state: CoreState,
  _server: ServerId,
  _at: Instant,
): boolean => false;

/** Fencing number of this host's claim on a server, zero without one. */
export const fencingNumberOf = (_state: CoreState, _server: ServerId): number =>
  0;

/** Servers that this host owns, ordered by name. */
export const ownedServers = (_state: CoreState): readonly ServerId[] => [];
