import type {Instant} from '../instant.js';

/** The retention epoch as this host last read it. */
export interface KnownEpoch {
  readonly epoch: number;
  readonly version: number;
  /** Start of the read that first returned this epoch. */
  readonly firstSeenAt: Instant;
  /** Start of the last read that returned it. */
  lastSeenAt: Instant;
}

/** A pass over one shard of the claims. */
export interface CleanUpPass {
  readonly shard: string;
  readonly after: string;
}

/** What this host knows of the age of claims. */
export interface RetentionState {
  known: KnownEpoch | undefined;
  /** Shards that are still to be passed over in this epoch. */
  readonly passes: CleanUpPass[];
  /** Shifts this host's polls against those of the others, milliseconds. */
  readonly phaseMs: number;
}

const PHASE_RANGE_MS = 60_000;

/** Returns the state at the start of a process. */
export const createRetentionState = (seed: number): RetentionState => ({
  known: undefined,
  passes: [],
  phaseMs: Math.abs(seed) % PHASE_RANGE_MS,
});
