import type {RequestId, ServerId} from '../identifiers.js';
import type {RequestDescription} from '../request.js';
import type {SendOutcome} from '../refusal.js';

/** A caller's model request was accepted by the HTTP interface. */
export interface RequestSubmittedEvent {
  readonly type: 'request-submitted';
  readonly request: RequestDescription;
  /** Milliseconds from now until the request's deadline. */
  readonly remainingMs: number;
}

/** A caller resumes an answer that started on another connection. */
export interface ResumeSubmittedEvent {
  readonly type: 'resume-submitted';
  readonly request: RequestDescription;
  /** Identifies the execution on `server`. */
  readonly attemptId: string;
  readonly server: ServerId;
  readonly offsetBytes: number;
  readonly remainingMs: number;
}

/** The caller disconnected or cancelled the request. */
export interface RequestAbandonedEvent {
  readonly type: 'request-abandoned';
  readonly requestId: RequestId;
}

/** An attempt of `start-attempt` or `resume-attempt` has ended. */
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
