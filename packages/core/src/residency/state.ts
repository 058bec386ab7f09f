import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the residency area. */
export interface ResidencyState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createResidencyState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): ResidencyState => ({settings});
