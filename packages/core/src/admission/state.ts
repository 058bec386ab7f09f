import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the admission area. */
export interface AdmissionState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createAdmissionState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): AdmissionState => ({settings});
