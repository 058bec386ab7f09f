import type {HostId, ServerId} from '../identifiers.js';
import type {EntryHost, ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';

/** Entry hosts that take work, this one included, ordered by name. */
export const liveHosts = (_state: CoreState): readonly EntryHost[] => [];

/** The description of a server, or undefined when the host list has none. */
export const describeServer = (
  _state: CoreState,
  _server: ServerId,
): ServerDescription | undefined => undefined;

/** Live servers of a pool that may get new work, ordered by name. */
export const serversOfPool = (
  _state: CoreState,
  _pool: string,
): readonly ServerDescription[] => [];

/**
 * The home of a key (an adapter): rendezvous hash over the live entry hosts.
 */
export const homeOf = (state: CoreState, _key: string): HostId =>
  state.settings.host;
