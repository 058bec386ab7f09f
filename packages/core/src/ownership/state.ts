import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the ownership area. */
export interface OwnershipState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createOwnershipState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): OwnershipState => ({settings});
