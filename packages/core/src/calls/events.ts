import type {MemberId, RequestId, ServerId} from '../identifiers.js';
import type {SendOutcome} from '../refusal.js';

/** What the decisions need to know of a call to a plain service. */
export interface CallDescription {
  readonly requestId: RequestId;
  readonly member: MemberId;
  /** Pool of the plain servers, for example `billing-desk`. */
  readonly pool: string;
  readonly operation: string;
  /** Whether a repeat has no further effect, as the settings declare. */
  readonly idempotent: boolean;
  /** Empty where the caller gave none. */
  readonly idempotencyKey: string;
  /** Digest of operation and body, to detect a key that is used twice. */
  readonly bodyDigest: string;
}

/** An answer as it is recorded and given to repeats. */
export interface RecordedResponse {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

export interface CallSubmittedEvent {
  readonly type: 'call-submitted';
  readonly call: CallDescription;
  readonly remainingMs: number;
}

export interface CallAbandonedEvent {
  readonly type: 'call-abandoned';
  readonly requestId: RequestId;
}

/** A call that `send-call` began has ended. */
export interface CallAttemptFinishedEvent {
  readonly type: 'call-attempt-finished';
  readonly requestId: RequestId;
  readonly attemptId: string;
  readonly server: ServerId;
  readonly outcome: SendOutcome;
  /** Present exactly when the outcome is `answered`. */
  readonly response: RecordedResponse | undefined;
}

/**
 * Raised when this host learned of a new retention epoch. Epochs last an hour
 * at least and replace clocks where the age of an object matters.
 */
export interface EpochBeganEvent {
  readonly type: 'epoch-began';
  readonly epoch: number;
}

export type CallsEvent =
  | CallSubmittedEvent
  | CallAbandonedEvent
  | CallAttemptFinishedEvent
  | EpochBeganEvent;
