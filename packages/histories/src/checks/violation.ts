/** The promises that the checks look at. */
export type BrokenPromise =
  | 'two-senders'
  | 'stale-order-accepted'
  | 'claims-not-linear'
  | 'head-not-linear'
  | 'submission-misreported'
  | 'revision-fell'
  | 'not-settled'
  | 'evicted-in-use'
  | 'false-not-run'
  | 'wrong-version-ran'
  | 'ran-twice'
  | 'wrong-answer'
  | 'work-lost'
  | 'work-shown-to-another-member'
  | 'token-of-another-member';

/** One promise that a run broke. */
export interface Violation {
  readonly promise: BrokenPromise;
  /** True time within the run, milliseconds. */
  readonly atMs: number;
  readonly detail: string;
}
