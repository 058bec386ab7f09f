import type {CoreIdentity, CoreSettings} from '../settings.js';

/** State of the membership area. */
export interface MembershipState {
  readonly settings: CoreSettings;
}

/** Returns the state at the start of a process. */
export const createMembershipState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): MembershipState => ({settings});
