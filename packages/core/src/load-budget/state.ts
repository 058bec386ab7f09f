import type {AdapterVersion, HostId, ServerId} from '../identifiers.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';

/** A load that an owner asked for and that may not start yet. */
export interface PendingLoad {
  readonly loadId: string;
  readonly owner: HostId;
  readonly server: ServerId;
  readonly wanted: AdapterVersion;
  urgency: number;
  /** Monotonic time by which the load has to be done to be of use. */
  dueMs: number;
  /** Monotonic time after which the owner is taken to have lost interest. */
  expiresMs: number;
  readonly askedMs: number;
}

/** A load that may start or has started. */
export interface GrantedLoad {
  readonly loadId: string;
  readonly owner: HostId;
  readonly grantedMs: number;
  expiresMs: number;
}

/** State of the load-budget area: the queue of this host as the holder. */
export interface LoadBudgetState {
  readonly settings: CoreSettings;
  readonly pending: Map<string, PendingLoad>;
  readonly granted: Map<string, GrantedLoad>;
  /** Loads that may start now; below one, fractions of the next. */
  tokens: number;
  /** Monotonic time at which `tokens` was last brought up to date. */
  tokensAtMs: number;
  /** Whether the timer for the next token is set. */
  timerSet: boolean;
}

/** Returns the state at the start of a process. */
export const createLoadBudgetState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): LoadBudgetState => ({
  settings,
  pending: new Map(),
  granted: new Map(),
  tokens: settings.weightStore.fullSpeedLoads,
  tokensAtMs: 0,
  timerSet: false,
});
