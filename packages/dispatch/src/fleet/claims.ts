import {
  chooseByRendezvous,
  elapsedMs,
  type Instant,
  type WeightedCandidate,
} from '@basilworks/core';

import type {ClaimRecord} from './records.js';

/**
 * A holder issues orders for this long after the start of the last read that
 * showed its claim. Long enough to keep loading through a store outage of nine
 * seconds that begins when a read is due; a taker waits as long.
 */
export const CLAIM_VALIDITY_MS = 12_000;

/** Allowance for timers that fire late and clocks that drift, milliseconds. */
const TAKEOVER_MARGIN_MS = 500;

/**
 * Silence of a holder after which its claims may be taken, milliseconds. A
 * holder that restarts, freezes or is cut off for a few seconds goes on sooner
 * than its taker could begin.
 */
export const HOLDER_TIMEOUT_MS = 5_000;

/** A host that hears too few others waits this long before it takes claims. */
const MINORITY_PATIENCE_MS = 10_000;

/** A claim and the revision to change it at. */
export interface StoredClaim {
  readonly record: ClaimRecord;
  readonly revision: number;
}

/** What a review of the claims looks at. */
export interface ClaimReview {
  readonly at: Instant;
  readonly self: string;
  /** The live hosts, this one included, and their shares of the claims. */
  readonly live: readonly WeightedCandidate[];
  /** Identities of the servers that take orders. */
  readonly servers: readonly string[];
  readonly claims: ReadonlyMap<string, StoredClaim>;
  /** Claims of this host that were taken over and have waited long enough. */
  readonly completedTakeovers: ReadonlySet<string>;
  /** Milliseconds for which fewer than half of the known hosts were heard. */
  readonly minorityMs: number;
  /** Milliseconds since a host was heard. */
  readonly unreachableMs: (host: string) => number;
}

/** A change of a claim that this host should write. */
export interface ClaimChange {
  readonly record: ClaimRecord;
  /** Revision that it replaces; undefined creates the claim. */
  readonly expectedRevision: number | undefined;
}

/**
 * Returns the claims that this host should write now. A claim stays where it
 * is while its holder is heard; a holder that comes back before anybody took
 * its claim simply goes on.
 */
export const reviewClaims = (review: ClaimReview): readonly ClaimChange[] => {
  const {
    self,
    live,
    servers,
    claims,
    completedTakeovers: settled,
    minorityMs,
  } = review;
  return servers.flatMap((server) => {
    const claim = claims.get(server);
    if (claim?.record.takenFrom !== undefined && settled.has(server)) {
      const record = {...claim.record, takenFrom: undefined};
      return [{record, expectedRevision: claim.revision}];
    }
    if (claim !== undefined && !isAbandoned(claim.record, review)) {
      return [];
    }
    // A host that is cut off from the others must not take what they hold.
    if (minorityMs > 0 && minorityMs < MINORITY_PATIENCE_MS) {
      return [];
    }
    if (chooseByRendezvous(server, live) !== self) {
      return [];
    }
    const record: ClaimRecord = {
      type: 'claim',
      server,
      host: self,
      fence: (claim?.record.fence ?? 0) + 1,
      takenFrom: claim?.record.host,
    };
    return [{record, expectedRevision: claim?.revision}];
  });
};

const isAbandoned = (
  {host}: ClaimRecord,
  {self, live, unreachableMs}: ClaimReview,
): boolean =>
  host !== self &&
  !live.some(({name}) => name === host) &&
  unreachableMs(host) > HOLDER_TIMEOUT_MS;

/** How a claim of this host came about, as far as this process knows. */
export interface HeldClaim {
  readonly record: ClaimRecord;
  /** When this process first knew that it holds the claim. */
  readonly heldSince: Instant;
  /** Since when the host before is known to know that it lost the claim. */
  readonly yieldConfirmedAt: Instant | undefined;
}

/** What decides whether an order may be issued. */
export interface OrderConditions {
  /** Milliseconds since the claims were known to be current. */
  readonly claimsAgeMs: number;
  /** Longest turn-taking of two issuers that servers may see, milliseconds. */
  readonly orderLeaseMs: number;
  readonly at: Instant;
}

/**
 * Whether the holder may issue an order now: its claim was not revoked as of a
 * recent read, and where it took the claim from another host, that host does
 * not issue any more and the silence between two issuers has passed.
 */
export const mayIssueOrders = (
  claim: HeldClaim,
  {claimsAgeMs, orderLeaseMs, at}: OrderConditions,
): boolean =>
  claimsAgeMs < CLAIM_VALIDITY_MS &&
  (claim.record.takenFrom === undefined ||
    isTakeoverComplete(claim, orderLeaseMs, at));

/**
 * Whether a claim that was taken over has waited long enough: the host before
 * has said that it knows, or its last proof has run out.
 */
export const isTakeoverComplete = (
  {heldSince, yieldConfirmedAt}: HeldClaim,
  orderLeaseMs: number,
  at: Instant,
): boolean => {
  const silenceMs = orderLeaseMs + TAKEOVER_MARGIN_MS;
  return (
    elapsedMs(heldSince, at) >= CLAIM_VALIDITY_MS + silenceMs ||
    (yieldConfirmedAt !== undefined &&
      elapsedMs(yieldConfirmedAt, at) >= silenceMs)
  );
};
