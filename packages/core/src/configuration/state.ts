import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the configuration area. */
export interface ConfigurationState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createConfigurationState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): ConfigurationState => ({settings});
