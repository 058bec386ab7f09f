import type {SendOutcome} from '@basilworks/core';

/** Start of an engine's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
  /** Adapter and version that ran, in the engine's own words. */
  readonly adapter: string;
  readonly version: string;
}

/**
 * Receives one answer: at most one `head`, then `data`, then exactly one
 * `end`.
 */
export interface AnswerSink {
  head(head: AnswerHead): void;
  /** Returns false to pause the source until its `resume` is called. */
  data(chunk: Buffer): boolean;
  end(outcome: SendOutcome): void;
}

/** Where an answer comes from. */
export interface AnswerSource {
  resume(): void;
  /** Ends the answer early; the sink still gets its `end`. */
  cancel(): void;
}
