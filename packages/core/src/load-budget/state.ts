import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the load-budget area. */
export interface LoadBudgetState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createLoadBudgetState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): LoadBudgetState => ({settings});
