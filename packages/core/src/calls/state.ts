import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the calls area. */
export interface CallsState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createCallsState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): CallsState => ({settings});
