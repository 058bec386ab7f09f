import type {
  CallDescription,
  Refusal,
  RequestDescription,
  SheetResult,
  StoreOperation,
  WorkStatus,
} from '@basilworks/core';

/** A request or an order that arrived at a server. */
export interface ServerArrival {
  readonly atMs: number;
  /** When its host sent it. */
  readonly sentMs: number;
  readonly server: string;
  readonly checksFencing: boolean;
  readonly host: string;
  readonly incarnation: string;
  readonly fencingNumber: number;
  /** False where the server refused it for its fencing number. */
  readonly accepted: boolean;
}

/** A conditional write that took effect at the object API. */
export interface StoreWrite {
  readonly atMs: number;
  readonly host: string;
  readonly operation: Extract<StoreOperation, {readonly value: string}>;
  readonly version: number;
}

/** A configuration revision that a host took. */
export interface RevisionSeen {
  readonly atMs: number;
  readonly host: string;
  readonly incarnation: string;
  readonly revision: number;
}

/** An operator's sheet and how it ended. */
export interface SheetOutcome {
  readonly atMs: number;
  readonly host: string;
  readonly submission: string;
  readonly operator: string;
  readonly result: SheetResult;
}

/** How a caller's model request ended. */
export interface RequestOutcome {
  readonly atMs: number;
  readonly request: RequestDescription;
  readonly refusal: Refusal | undefined;
}

/** How a caller's call to a plain service ended. */
export interface CallOutcome {
  readonly atMs: number;
  readonly call: CallDescription;
  /** Whom the answer was made for; undefined when the call was refused. */
  readonly answeredFor: string | undefined;
  readonly refusal: Refusal | undefined;
}

/** Work that can wait and was accepted. */
export interface AcceptedWork {
  readonly atMs: number;
  readonly request: RequestDescription;
}

/** What a member was told of a piece of work. */
export interface WorkAnswer {
  readonly atMs: number;
  readonly requestId: string;
  readonly member: string;
  /** Whether the run's faults were over, with time to settle. */
  readonly isFinal: boolean;
  readonly status: WorkStatus;
}

/** An adapter that was unloaded although a request ran on it. */
export interface EvictionInUse {
  readonly atMs: number;
  readonly server: string;
  readonly adapter: string;
}

/** Everything that a run records for the checks, in true time. */
export interface History {
  readonly arrivals: ServerArrival[];
  readonly writes: StoreWrite[];
  readonly revisions: RevisionSeen[];
  readonly sheets: SheetOutcome[];
  readonly requests: RequestOutcome[];
  readonly calls: CallOutcome[];
  readonly evictionsInUse: EvictionInUse[];
  readonly works: AcceptedWork[];
  readonly workAnswers: WorkAnswer[];
}

/** Returns a history without entries. */
export const emptyHistory = (): History => ({
  arrivals: [],
  writes: [],
  revisions: [],
  sheets: [],
  requests: [],
  calls: [],
  evictionsInUse: [],
  works: [],
  workAnswers: [],
});
