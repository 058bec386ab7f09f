import type {CoreState} from '../state.js';

/**
 * Calls that have not ended and outcomes that are not yet recorded. A graceful
 * shutdown waits until there are none.
 */
export const unfinishedCalls = (state: CoreState): number =>
  state.calls.calls.size + state.calls.records.size;

export {currentEpoch, EPOCH_MS} from './retention.js';
