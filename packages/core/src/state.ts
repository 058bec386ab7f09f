import type {CoreIdentity, CoreSettings} from './settings.js';
import {createAdmissionState, type AdmissionState} from './admission/state.js';
import {createCallsState, type CallsState} from './calls/state.js';
import {
  createConfigurationState,
  type ConfigurationState,
} from './configuration/state.js';
import {createDeferredState, type DeferredState} from './deferred/state.js';
import {
  createLoadBudgetState,
  type LoadBudgetState,
} from './load-budget/state.js';
import {
  createMembershipState,
  type MembershipState,
} from './membership/state.js';
import {createOwnershipState, type OwnershipState} from './ownership/state.js';
import {createResidencyState, type ResidencyState} from './residency/state.js';
import {createRoutingState, type RoutingState} from './routing/state.js';
import {createStreamsState, type StreamsState} from './streams/state.js';

/** The whole state of one entry host, one part for each area. */
export interface CoreState {
  readonly settings: CoreSettings;
  readonly identity: CoreIdentity;
  readonly admission: AdmissionState;
  readonly calls: CallsState;
  readonly configuration: ConfigurationState;
  readonly deferred: DeferredState;
  readonly loadBudget: LoadBudgetState;
  readonly membership: MembershipState;
  readonly ownership: OwnershipState;
  readonly residency: ResidencyState;
  readonly routing: RoutingState;
  readonly streams: StreamsState;
}

/** Returns the state at the start of a process. */
export const createState = (
  settings: CoreSettings,
  identity: CoreIdentity,
): CoreState => ({
  settings,
  identity,
  admission: createAdmissionState(settings, identity),
  calls: createCallsState(settings, identity),
  configuration: createConfigurationState(settings, identity),
  deferred: createDeferredState(settings, identity),
  loadBudget: createLoadBudgetState(settings, identity),
  membership: createMembershipState(settings, identity),
  ownership: createOwnershipState(settings, identity),
  residency: createResidencyState(settings, identity),
  routing: createRoutingState(settings, identity),
  streams: createStreamsState(settings, identity),
});
