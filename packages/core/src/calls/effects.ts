import type {RequestId, ServerId} from '../identifiers.js';
import type {Refusal} from '../refusal.js';
import type {CallDescription, RecordedResponse} from './events.js';

/** Sends a call to a plain server. Ends with `call-attempt-finished`. */
export interface SendCallEffect {
  readonly type: 'send-call';
  readonly call: CallDescription;
  readonly attemptId: string;
  readonly server: ServerId;
  readonly remainingMs: number;
}

/** Answers the caller, with a fresh or a recorded response. */
export interface ReplyCallEffect {
  readonly type: 'reply-call';
  readonly requestId: RequestId;
  readonly response: RecordedResponse;
  readonly replayed: boolean;
}

/** Gives the caller its final negative answer. */
export interface RefuseCallEffect {
  readonly type: 'refuse-call';
  readonly requestId: RequestId;
  readonly refusal: Refusal;
}

export type CallsEffect = SendCallEffect | ReplyCallEffect | RefuseCallEffect;
