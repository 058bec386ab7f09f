import type {HostId, RequestId, ServerId} from '../identifiers.js';
import type {RequestDescription} from '../request.js';
import type {Refusal} from '../refusal.js';

/**
 * Opens the data path of a request: the ingress daemon sends the body to the
 * owner, which may be this host, and relays the answer's bytes to the caller.
 * Ends with one `attempt-finished`.
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
 * Continues an interrupted answer at `offsetBytes`, through the owner of the
 * server that produced it. Ends with one `attempt-finished`.
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

/** Cancels an attempt in progress, for example because the caller left. */
export interface CancelAttemptEffect {
  readonly type: 'cancel-attempt';
  readonly requestId: RequestId;
  readonly attemptId: string;
}

/** Gives the caller its final negative answer, or ends its broken stream. */
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
