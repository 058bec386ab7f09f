import type {TenantQuota} from '../configuration/index.js';

/**
 * Precision of quotas: in any window, the requests of a tenant that run use at
 * most (perSecond * windowS + burst) * (1 + share) + extra.
 */
export interface QuotaTolerance {
  readonly windowS: number;
  readonly share: number;
  readonly extra: number;
}

/**
 * Validity of an allowance by the clock of the host that has it, milliseconds:
 * two renewals, so that one may be lost.
 */
export const ALLOWANCE_VALIDITY_MS = 2_000;

/**
 * Longest time for which two hosts may meter a tenant without knowing of each
 * other, seconds: two rounds of exchanges.
 */
const OVERLAP_S = 1;

/** Shares of the tolerance for each cause of granting more than the quota. */
const OVERDRAFT_SHARE = 1 / 4;
const AHEAD_SHARE = 1 / 4;
const OVERLAP_SHARE = 1 / 2;

/** A quota, and the bounds derived from its tolerance. */
export interface QuotaBounds {
  readonly perSecond: number;
  readonly burst: number;
  /** Largest debt into which one request may take the bucket. */
  readonly overdraft: number;
  /** Most tokens that the bucket and all hosts may hold together. */
  readonly capacity: number;
  /** Tokens that a new meter may grant on top of its predecessor's grants. */
  readonly overlap: number;
  /** Debt with which such a meter starts. */
  readonly initialDebt: number;
  /** Time after which spent tokens are no longer refunded, milliseconds. */
  readonly refundableMs: number;
  /** Longest retry time that is reported, milliseconds. */
  readonly windowMs: number;
  /** Share of hosts that may be unseen without a reduction of the rate. */
  readonly unseenShare: number;
  /** Share of the quota that a stand-in meter grants. */
  readonly standInShare: number;
}

/** Longest time in which tokens are refunded, milliseconds. */
const LONGEST_REFUND_MS = 500;

/** Share of the capacity that refundable requests may hold. */
const REFUND_SHARE = 1 / 4;

/** Returns the bounds that keep a quota within its tolerance. */
export const quotaBounds = (
  {perSecond, burst}: TenantQuota,
  {windowS, share, extra}: QuotaTolerance,
): QuotaBounds => {
  const slack = share * (perSecond * windowS + burst) + extra;
  const overdraft = slack * OVERDRAFT_SHARE;
  const capacity = burst + slack * AHEAD_SHARE;
  const overlap = slack * OVERLAP_SHARE;
  return {
    perSecond,
    burst,
    overdraft,
    capacity,
    overlap,
    initialDebt: Math.max(0, overdraft + perSecond * OVERLAP_S - overlap),
    refundableMs: Math.min(
      LONGEST_REFUND_MS,
      (REFUND_SHARE * capacity * 1_000) / perSecond,
    ),
    windowMs: windowS * 1_000,
    unseenShare: share / 4,
    standInShare: overlap / 2 / (perSecond * windowS),
  };
};
