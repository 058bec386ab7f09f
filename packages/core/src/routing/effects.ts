import type {HostId, RequestId, ServerId} from '../identifiers.js';
import type {RequestDescription} from '../request.js';
import type {Refusal} from '../refusal.js';

/**
 * Opens the data path of a request: the ingress daemon sends the body to the
 * server's owner, which may be this host, and relays the answer's bytes to the
 * caller. Results in exactly one `attempt-finished` event.
 */
export interface StartAttemptEffect {
  readonly type: 'start-attempt';
  readonly request: RequestDescription;
  readonly attemptId: string;
  readonly owner: HostId;
  readonly server: ServerId;
  readonly remainingMs: number;
}

/**
 * Resumes an interrupted answer at `offsetBytes`, through the owner of the
 * server that produced it. Results in exactly one `attempt-finished` event.
 */
export interface ResumeAttemptEffect {
  readonly type: 'resume-attempt';
  readonly request: RequestDescription;
  readonly attemptId: string;
  readonly owner: HostId;
  readonly server: ServerId;
  readonly offsetBytes: number;
  readonly remainingMs: number;
}

/** Cancels an attempt in progress because its request was abandoned. */
export interface CancelAttemptEffect {
  readonly type: 'cancel-attempt';
  readonly requestId: RequestId;
  readonly attemptId: string;
}

/** Sends the caller its final refusal, or ends its interrupted stream. */
export interface RefuseRequestEffect {
  readonly type: 'refuse-request';
  readonly requestId: RequestId;
  readonly refusal: Refusal;
}

export type RoutingEffect =
  | StartAttemptEffect
  | ResumeAttemptEffect
  | CancelAttemptEffect
  | RefuseRequestEffect;
