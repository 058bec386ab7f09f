import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the routing area. */
export interface RoutingState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createRoutingState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): RoutingState => ({settings});
