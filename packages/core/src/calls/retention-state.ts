import type {Instant} from '../instant.js';
import {ShardSweep} from '../lib/shard-sweep.js';
import {CLAIM_KIND} from './claim-record.js';

/** The retention epoch as this host last read it. */
export interface KnownEpoch {
  readonly epoch: number;
  readonly version: number;
  /** Start of the read that first returned this epoch. */
  readonly firstSeenAt: Instant;
  /** Start of the last read that returned it. */
  lastSeenAt: Instant;
}

/** What this host knows of the age of claims. */
export interface RetentionState {
  known: KnownEpoch | undefined;
  /** The pass over the claims that each epoch begins. */
  readonly sweep: ShardSweep;
  /** Shifts this host's polls against those of the others, milliseconds. */
  readonly phaseMs: number;
}

const PHASE_RANGE_MS = 60_000;
/** Claims that one list call returns, and so the deletions per interval. */
const CLEAN_UP_PAGE = 20;

/** Returns the state at the start of a process. */
export const createRetentionState = (seed: number): RetentionState => ({
  known: undefined,
  sweep: new ShardSweep(CLAIM_KIND, CLEAN_UP_PAGE, seed),
  phaseMs: Math.abs(seed) % PHASE_RANGE_MS,
});
