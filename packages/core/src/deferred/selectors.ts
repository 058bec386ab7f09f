import type {CoreState} from '../state.js';

/**
 * Pieces of work whose acceptance or result is being written. A graceful
 * shutdown waits until there are none; the rest is taken over by other hosts.
 */
export const unsettledWork = (state: CoreState): number => {
  let count = 0;
  for (const {phase} of state.deferred.entries.values()) {
    count += phase === 'storing' || phase === 'finishing' ? 1 : 0;
  }
  return count;
};
