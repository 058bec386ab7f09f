import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the streams area. */
export interface StreamsState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createStreamsState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): StreamsState => ({settings});
