import {adapterEntry} from '../configuration/selectors.js';
import {adapterVersionKey} from '../identifiers.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {demandOf, moveDemand} from './demand.js';
import {wantAdapter} from './loads.js';
import type {OwnedServer, Slot} from './state.js';

/**
 * Loads the version in force of each resident adapter in the background, while
 * its previous version stays: the store's idle time pays for the change.
 */
export const warmNewVersions = (state: CoreState, turn: Turn): void => {
  for (const owned of state.residency.servers.values()) {
    for (const slot of [...owned.slots.values()]) {
      warmNewVersion(state, owned, slot, turn);
    }
  }
};

const warmNewVersion = (
  state: CoreState,
  owned: OwnedServer,
  slot: Slot,
  turn: Turn,
): void => {
  const {demand} = state.residency;
  const entry = adapterEntry(state, slot.adapter);
  if (
    entry === undefined ||
    entry.retired ||
    entry.version === slot.version ||
    owned.leaving ||
    demandOf(demand, slot.key, turn.at.monotonicMs) === 0
  ) {
    return;
  }
  const {adapter, version} = entry;
  const key = adapterVersionKey({adapter, version});
  if (!owned.slots.has(key)) {
    moveDemand(demand, slot.key, key);
    wantAdapter(state, owned, {adapter, version}, true, turn);
  }
};
