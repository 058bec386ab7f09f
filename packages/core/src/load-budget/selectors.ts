import type {HostId} from '../identifiers.js';
import {homeOf} from '../membership/selectors.js';
import type {CoreState} from '../state.js';

/** Key whose home holds the load budget; one weight store is served. */
const WEIGHT_STORE_KEY = 'weight-store/default';

/** The host that grants loads of the weight store. */
export const loadBudgetHolder = (state: CoreState): HostId =>
  homeOf(state, WEIGHT_STORE_KEY);

/**
 * Milliseconds until a load that is asked for now would be done, when
 * `urgency` decides its place in the queue of this host. Exact on the holder,
 * and the time of one free load elsewhere.
 */
export const expectedLoadWaitMs = (
  state: CoreState,
  urgency: number,
): number => {
  const {weightStore} = state.settings;
  let ahead = state.loadBudget.tokens >= 1 ? 0 : 1 - state.loadBudget.tokens;
  for (const load of state.loadBudget.pending.values()) {
    if (load.urgency >= urgency) {
      ahead += 1;
    }
  }
  return (ahead * 1_000) / weightStore.loadsPerSecond + weightStore.loadMs;
};
