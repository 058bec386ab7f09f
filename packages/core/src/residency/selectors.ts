import type {AdapterVersion, ServerId} from '../identifiers.js';
import type {CoreState} from '../state.js';
import type {OwnedServer} from './state.js';

/** An adapter version that requests run on. */
export interface InFlightAdapter extends AdapterVersion {
  readonly running: number;
}

/** What runs on a server of this host, for a planned handover. */
export const inFlightOf = (
  state: CoreState,
  server: ServerId,
): readonly InFlightAdapter[] => {
  const owned = state.residency.servers.get(server);
  return [...(owned?.slots.values() ?? [])]
    .filter(({running, inherited}) => running > 0 || inherited)
    .map(({adapter, version, running}) => ({adapter, version, running}));
};

/** Whether no execution of this host waits or runs on a server. */
export const isIdle = (state: CoreState, server: ServerId): boolean => {
  const owned = state.residency.servers.get(server);
  return owned === undefined || (owned.running === 0 && !hasWaiting(owned));
};

/** The server as this host owns it, for decisions of the same host. */
export const ownedServer = (
  state: CoreState,
  server: ServerId,
): OwnedServer | undefined => state.residency.servers.get(server);

const hasWaiting = ({waitingByClass}: OwnedServer): boolean =>
  waitingByClass.urgent + waitingByClass.standard + waitingByClass.deferrable >
  0;
