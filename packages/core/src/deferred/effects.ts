import type {RequestId} from '../identifiers.js';
import type {Refusal} from '../refusal.js';
import type {RequestDescription} from '../request.js';
import type {WorkStatus} from './events.js';

/** Answers 202: the work is stored. */
export interface AcceptWorkEffect {
  readonly type: 'accept-work';
  readonly requestId: RequestId;
}

/** Answers a submission negatively; the work was not accepted. */
export interface RefuseWorkEffect {
  readonly type: 'refuse-work';
  readonly requestId: RequestId;
  readonly refusal: Refusal;
}

/**
 * Submits stored work as a model request of this host: the daemon keeps the
 * body, submits the request and collects the answer. Ends with
 * `work-finished`.
 */
export interface RunWorkEffect {
  readonly type: 'run-work';
  readonly request: RequestDescription;
  readonly body: string;
  readonly remainingMs: number;
}

/** Answers a `work-queried`. */
export interface AnswerWorkQueryEffect {
  readonly type: 'answer-work-query';
  readonly query: string;
  readonly status: WorkStatus;
}

export type DeferredEffect =
  AcceptWorkEffect | RefuseWorkEffect | RunWorkEffect | AnswerWorkQueryEffect;
