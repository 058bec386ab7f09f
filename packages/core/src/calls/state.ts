import type {RequestId, ServerId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import {StoreCalls} from '../lib/store-calls.js';
import type {Refusal} from '../refusal.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import type {ClaimState} from './claim-record.js';
import type {CallDescription} from './events.js';
import {PlainServers} from './plain-servers.js';
import {createRetentionState, type RetentionState} from './retention-state.js';
import type {RetryBudget} from './retry-budget.js';

/** The claim of a call that may not be repeated. */
export interface HeldClaim {
  readonly name: string;
  readonly nonce: string;
  readonly epoch: number;
  /** Whether a write of this nonce may have taken effect unseen. */
  ambiguous: boolean;
  /** Store calls that settled nothing. */
  failures: number;
  /** Set once the object is known to carry the nonce. */
  version: number | undefined;
}

/** A call of this host that has not ended. */
export interface CallInProgress {
  readonly call: CallDescription;
  readonly submittedAt: Instant;
  /** Milliseconds from `submittedAt` until the answer has no more use. */
  readonly limitMs: number;
  readonly claim: HeldClaim | undefined;
  /** Servers that the call was tried on. */
  readonly tried: Set<ServerId>;
  attemptId: string | undefined;
  /** Whether any attempt so far may have run. */
  mayHaveRun: boolean;
  /** Whether the caller has its answer, or left. */
  settled: boolean;
  lastRefusal: Refusal | undefined;
}

/** An outcome that is being written to its claim. */
export interface PendingRecord {
  readonly name: string;
  readonly call: CallDescription;
  readonly nonce: string;
  readonly epoch: number;
  readonly outcome: ClaimState;
  /** Version of the claim object, when it is known. */
  version: number | undefined;
  failures: number;
}

/** What the answer of a store call is for. */
export type CallsPurpose =
  | {readonly kind: 'claim-write'; readonly requestId: RequestId}
  | {readonly kind: 'claim-read'; readonly requestId: RequestId}
  | {readonly kind: 'record-write'; readonly name: string}
  | {readonly kind: 'record-read'; readonly name: string}
  | {readonly kind: 'epoch-read'}
  | {readonly kind: 'epoch-write'; readonly epoch: number}
  | {readonly kind: 'clean-up-list'}
  | {readonly kind: 'clean-up-write'};

/** State of the calls area. */
export interface CallsState {
  readonly settings: CoreSettings;
  readonly calls: Map<RequestId, CallInProgress>;
  /** Calls that hold, or ask for, a claim, by the claim's name. */
  readonly claims: Map<string, RequestId>;
  readonly records: Map<string, PendingRecord>;
  readonly budgets: Map<string, RetryBudget>;
  /** When this host first saw another's open claim, by nonce. */
  readonly openSince: Map<string, Instant>;
  readonly servers: PlainServers;
  readonly store: StoreCalls<CallsPurpose>;
  readonly retention: RetentionState;
  /** Numbers nonces and attempts within this run of the process. */
  sequence: number;
}

/** Returns the state at the start of a process. */
export const createCallsState = (
  settings: CoreSettings,
  identity: CoreIdentity,
): CallsState => ({
  settings,
  calls: new Map(),
  claims: new Map(),
  records: new Map(),
  budgets: new Map(),
  openSince: new Map(),
  servers: new PlainServers(),
  store: new StoreCalls('calls'),
  retention: createRetentionState(identity.seed),
  sequence: 0,
});
