import type {MemberId, RequestId} from '../identifiers.js';
import type {Refusal, SendOutcome} from '../refusal.js';
import type {RequestDescription} from '../request.js';

/** Work that can wait reached the HTTP interface. */
export interface WorkSubmittedEvent {
  readonly type: 'work-submitted';
  readonly request: RequestDescription;
  /** Body of the request as text; stored before the work is accepted. */
  readonly body: string;
  readonly remainingMs: number;
}

/** Work that `run-work` began has ended, with the answer it produced. */
export interface WorkFinishedEvent {
  readonly type: 'work-finished';
  readonly requestId: RequestId;
  readonly outcome: SendOutcome;
  readonly answer: string | undefined;
}

/** A caller asks what became of its work. */
export interface WorkQueriedEvent {
  readonly type: 'work-queried';
  /** Identifies the query on this host. */
  readonly query: string;
  readonly requestId: RequestId;
  readonly member: MemberId;
}

/** What is known of one piece of work. */
export type WorkStatus =
  | {readonly kind: 'waiting'}
  | {readonly kind: 'running'}
  | {readonly kind: 'done'; readonly answer: string}
  | {readonly kind: 'failed'; readonly refusal: Refusal}
  | {readonly kind: 'not-found'}
  | {readonly kind: 'store-unavailable'; readonly retryAfterMs: number};

export type DeferredEvent =
  WorkSubmittedEvent | WorkFinishedEvent | WorkQueriedEvent;
