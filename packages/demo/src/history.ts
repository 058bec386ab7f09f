import type {PriorityClass} from '@basilworks/core';
import type {StandInHistory} from '@basilworks/stand-ins';

/** How one attempt of a caller ended, as the caller saw it. */
export type AttemptEnd =
  /** The whole answer, equal to the expected one in every byte. */
  | {
      readonly kind: 'whole';
      readonly adapter: string;
      readonly version: string;
    }
  /** An answer that is not the one to this request. */
  | {readonly kind: 'wrong'; readonly detail: string}
  /** A negative answer, possibly after a part of the answer. */
  | {
      readonly kind: 'refused';
      readonly code: string;
      readonly notRun: boolean;
      readonly deliveredBytes: number;
    }
  /** The connection broke after the request was sent. */
  | {readonly kind: 'broken'; readonly deliveredBytes: number}
  /** No connection could be made; the request was not sent. */
  | {readonly kind: 'not-connected'}
  /** No answer of any kind by the deadline and a generous margin. */
  | {readonly kind: 'silent'};

/** One try of a caller at one entry host. */
export interface Attempt {
  /** Identity that the entry host gave the request; empty if unknown. */
  readonly requestId: string;
  readonly address: string;
  /** Continues the stream of an earlier attempt. */
  readonly resumed: boolean;
  readonly end: AttemptEnd;
}

/** One model request with all its attempts. */
export interface ModelRecord {
  readonly kind: 'model';
  /** Unique part of its prompt. */
  readonly nonce: string;
  readonly member: string;
  readonly adapter: string;
  readonly priorityClass: PriorityClass;
  /** Versions that are right; one, but for a change made meanwhile. */
  readonly versions: readonly string[];
  /** Milliseconds since the Unix epoch. */
  readonly sentMs: number;
  readonly attempts: readonly Attempt[];
}

/** One call to a plain service with all its attempts. */
export interface CallRecord {
  readonly kind: 'call';
  readonly operation: string;
  readonly idempotent: boolean;
  readonly member: string;
  /** Unique in the run, so that runs can be counted by it. */
  readonly body: string;
  readonly attempts: readonly Attempt[];
}

/** One piece of work that can wait. */
export interface WorkRecord {
  readonly kind: 'work';
  readonly nonce: string;
  readonly member: string;
  readonly adapter: string;
  readonly versions: readonly string[];
  /** Whether the submission was accepted. */
  readonly accepted: boolean;
  /** `silent` when neither a result nor a failure could be fetched. */
  readonly submission: Attempt;
  readonly result: AttemptEnd | undefined;
}

export type CallerRecord = ModelRecord | CallRecord | WorkRecord;

/** A server that was announced as leaving. */
export interface LeavingServer {
  readonly server: string;
  /** On the stand-ins' clock, when the host list showed it. */
  readonly visibleMs: number;
}

/** What happened, as both ends recorded it. */
export interface DemoHistory {
  readonly callers: readonly CallerRecord[];
  readonly standIns: StandInHistory;
  readonly leaving: readonly LeavingServer[];
  /** Whether engines were restarted on purpose, which breaks what runs. */
  readonly enginesRestarted: boolean;
}
