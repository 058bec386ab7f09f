import type {AreaName} from './area.js';
import type {Instant} from './instant.js';

/** An object of the platform's object API, as one read returned it. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  /** Version for conditional updates; grows with each write. */
  readonly version: number;
  /** JSON text, at most one megabyte. */
  readonly value: string;
}

/** One call to the object API. Each counts against the platform's rates. */
export type StoreOperation =
  | {readonly type: 'get'; readonly kind: string; readonly name: string}
  | {
      /** Answers at once if the object is newer, else waits. */
      readonly type: 'watch';
      readonly kind: string;
      readonly name: string;
      readonly newerThan: number;
      readonly waitMs: number;
    }
  | {
      readonly type: 'list';
      readonly kind: string;
      readonly prefix: string;
      /** Returns names after this one; empty for the first page. */
      readonly after: string;
      readonly limit: number;
    }
  | {
      /** Create-if-absent. */
      readonly type: 'create';
      readonly kind: string;
      readonly name: string;
      readonly value: string;
    }
  | {
      /** Conditional update. */
      readonly type: 'update';
      readonly kind: string;
      readonly name: string;
      readonly value: string;
      readonly expectedVersion: number;
    }
  | {
      readonly type: 'delete';
      readonly kind: string;
      readonly name: string;
      readonly expectedVersion: number;
    };

/** How a call to the object API ended. */
export type StoreResult =
  | {readonly type: 'found'; readonly object: StoredObject}
  | {readonly type: 'listed'; readonly objects: readonly StoredObject[]}
  | {readonly type: 'missing'}
  | {readonly type: 'unchanged'}
  | {readonly type: 'written'; readonly version: number}
  /** The condition did not hold; nothing was written. */
  | {readonly type: 'conflict'; readonly current: StoredObject | undefined}
  /** Refused or never sent: nothing was written. */
  | {readonly type: 'unavailable'; readonly retryAfterMs: number}
  /** The answer was lost: a write may or may not have taken effect. */
  | {readonly type: 'unknown'};

/** Asks the daemon for one call; the answer is a `store-responded` event. */
export interface StoreRequestEffect {
  readonly type: 'store-request';
  readonly area: AreaName;
  /** Returned with the answer; unique within the area. */
  readonly correlation: string;
  readonly operation: StoreOperation;
  /** Milliseconds after which the daemon gives up with `unknown`. */
  readonly timeoutMs: number;
}

/** The answer to a `store-request`. */
export interface StoreRespondedEvent {
  readonly type: 'store-responded';
  readonly area: AreaName;
  readonly correlation: string;
  readonly result: StoreResult;
  /** When the daemon sent the call, for proofs that count from the start. */
  readonly sentAt: Instant;
}
