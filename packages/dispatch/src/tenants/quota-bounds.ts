import type {TenantQuota} from '../configuration/index.js';

/**
 * How exactly quotas are kept: in any window, a tenant's requests that run use
 * at most (perSecond * windowS + burst) * (1 + share) + extra.
 */
export interface QuotaTolerance {
  readonly windowS: number;
  readonly share: number;
  readonly extra: number;
}

/**
 * How long what was handed out may be spent, by the clock of the host that has
 * it, milliseconds: two renewals, so that one may be lost.
 */
export const ALLOWANCE_VALIDITY_MS = 2_000;

/**
 * Time for which two hosts may meter a tenant before each knows of the other,
 * seconds: two rounds of exchanges.
 */
const OVERLAP_S = 1;

/** Share of the tolerance that each thing may use which is given out twice. */
const OVERDRAFT_SHARE = 1 / 4;
const AHEAD_SHARE = 1 / 4;
const OVERLAP_SHARE = 1 / 2;

/** A quota, and the parts of its tolerance. */
export interface QuotaBounds {
  readonly perSecond: number;
  readonly burst: number;
  /** How far below nothing a request may take the bucket. */
  readonly overdraft: number;
  /** What bucket and hosts together may hold. */
  readonly capacity: number;
  /** What a meter that follows another may let out besides the other's. */
  readonly overlap: number;
  /** Debt of such a meter. */
  readonly initialDebt: number;
  /** Time after which tokens are not given back, milliseconds. */
  readonly refundableMs: number;
  /** Longest time to come back that is told, milliseconds. */
  readonly windowMs: number;
  /** How much less than all hosts may be seen without a part of the rate. */
  readonly unseenShare: number;
  /** Part of the quota that a meter gives out which stands in for another. */
  readonly standInShare: number;
}

/** Longest time in which tokens are given back, milliseconds. */
const LONGEST_REFUND_MS = 500;

/** Part of the capacity that requests may hold which may be given back. */
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
