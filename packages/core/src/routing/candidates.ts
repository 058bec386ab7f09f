import {serversOfPool} from '../membership/selectors.js';
import type {RequestDescription} from '../request.js';
import type {ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';

/** Returns the servers that an adapter may run on. */
export const candidateServers = (
  state: CoreState,
  request: Pick<RequestDescription, 'adapter' | 'pool' | 'baseModel'>,
): readonly ServerDescription[] => serversOfPool(state, request.pool);
