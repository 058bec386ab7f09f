import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the deferred area. */
export interface DeferredState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createDeferredState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): DeferredState => ({settings});
