import type {RequestId, ServerId} from '../identifiers.js';
import type {RequestDescription} from '../request.js';
import type {SendOutcome} from '../refusal.js';

/** A caller's model request was accepted by the HTTP interface. */
export interface RequestSubmittedEvent {
  readonly type: 'request-submitted';
  readonly request: RequestDescription;
  /** Milliseconds from now until the answer has no more use. */
  readonly remainingMs: number;
}

/** A caller asks to continue an answer that another connection began. */
export interface ResumeSubmittedEvent {
  readonly type: 'resume-submitted';
  readonly request: RequestDescription;
  /** Names the execution on its server. */
  readonly attemptId: string;
  readonly server: ServerId;
  readonly offsetBytes: number;
  readonly remainingMs: number;
}

/** The caller went away, or cancelled. */
export interface RequestAbandonedEvent {
  readonly type: 'request-abandoned';
  readonly requestId: RequestId;
}

/** An attempt that `start-attempt` began has ended. */
export interface AttemptFinishedEvent {
  readonly type: 'attempt-finished';
  readonly requestId: RequestId;
  readonly attemptId: string;
  readonly outcome: SendOutcome;
}

export type RoutingEvent =
  | RequestSubmittedEvent
  | ResumeSubmittedEvent
  | RequestAbandonedEvent
  | AttemptFinishedEvent;
