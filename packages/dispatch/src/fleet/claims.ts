import {
  chooseByRendezvous,
  elapsedMs,
  type Instant,
  type WeightedCandidate,
} from '@basilworks/core';

import type {ClaimRecord} from './records.js';

/**
 * How long a holder may issue orders after the start of the last read that
 * showed its claim, milliseconds. This covers a store outage of nine seconds
 * that begins just before the next read. A host that takes over a claim waits
 * as long.
 */
export const CLAIM_VALIDITY_MS = 12_000;

/** Margin for late timers and clock drift, milliseconds. */
const TAKEOVER_MARGIN_MS = 500;

/**
 * How long a holder must be unreachable before its claims may be taken over,
 * milliseconds. A holder that restarts, freezes or is partitioned for a few
 * seconds resumes sooner than another host could start to issue orders.
 */
export const HOLDER_TIMEOUT_MS = 5_000;

/**
 * How long a holder must be cut from a server before its claim may be taken over,
 * milliseconds. Shorter cuts end before another host could start to issue
 * orders.
 */
export const CUT_HOLDER_TIMEOUT_MS = 2_000;

/**
 * Time after which a claim that a restored store has forgotten can't be valid
 * any more, milliseconds.
 */
const FORGOTTEN_CLAIM_MS = 2 * CLAIM_VALIDITY_MS;

/**
 * How long a host that reaches only a minority of the known hosts waits before
 * it takes claims, milliseconds.
 */
const MINORITY_DELAY_MS = 10_000;

/** Fencing numbers of one era of the store. */
const FENCES_PER_ERA = 2 ** 32;

/**
 * How long the holders of claims that a restored store has forgotten may take to
 * write them again, milliseconds: a read and a review of each host.
 */
const RECLAIM_MS = 3_000;

/**
 * Former holder of a claim that a restored store has forgotten and that nobody
 * has written again. It may be any host, so that only time confirms its loss.
 */
export const UNKNOWN_HOLDER = '*';

/**
 * Lowest fencing number that is given out in an era of the store. Numbers grow
 * over all eras, though the store forgets the latest ones of the era before.
 */
export const firstFence = (era: number): number => era * FENCES_PER_ERA + 1;

/** A claim and its revision in the store, for a conditional write. */
export interface StoredClaim {
  readonly record: ClaimRecord;
  readonly revision: number;
}

/** Input of `reviewClaims`. */
export interface ClaimReview {
  readonly at: Instant;
  readonly self: string;
  /** The live hosts, including this one, with their rendezvous weights. */
  readonly live: readonly WeightedCandidate[];
  /** Milliseconds for which a live host has been cut from a server. */
  readonly cutMs: (host: string, server: string) => number;
  /** Ids of the servers that accept orders. */
  readonly servers: readonly string[];
  readonly claims: ReadonlyMap<string, StoredClaim>;
  /** Era of the store in which the claims were read. */
  readonly era: number;
  /** Milliseconds for which this host has known that era. */
  readonly eraMs: number;
  /** Claims that this host held when the store was restored, by server. */
  readonly heldBefore: ReadonlyMap<string, ClaimRecord>;
  /** Servers whose claims this host took over and may now issue orders for. */
  readonly completedTakeovers: ReadonlySet<string>;
  /**
   * Milliseconds for which at most half of the known hosts have been live, 0
   * when a majority is.
   */
  readonly minorityMs: number;
  /** Milliseconds for which a host has been unreachable. */
  readonly unreachableMs: (host: string) => number;
}

/** A claim that this host should write to the store. */
export interface ClaimChange {
  readonly record: ClaimRecord;
  /** Revision to replace; undefined creates the claim. */
  readonly expectedRevision: number | undefined;
}

/**
 * Returns the claims that this host should write now. A claim stays with its
 * holder while the holder is reachable. A holder that returns before another
 * host takes its claim keeps it.
 */
export const reviewClaims = (review: ClaimReview): readonly ClaimChange[] => {
  const {
    self,
    live,
    servers,
    claims,
    completedTakeovers: settled,
    cutMs,
    minorityMs,
    era,
    eraMs,
    heldBefore,
  } = review;
  return servers.flatMap((server) => {
    const claim = claims.get(server);
    const isForgotten = era > 0 && !isOfEra(claim?.record, era);
    const held = heldBefore.get(server);
    if (isForgotten && held !== undefined) {
      const fence = nextFence(
        Math.max(held.fence, claim?.record.fence ?? 0),
        era,
      );
      return [{record: {...held, fence}, expectedRevision: claim?.revision}];
    }
    if (isForgotten && eraMs < RECLAIM_MS) {
      return [];
    }
    if (
      !isForgotten &&
      claim?.record.takenFrom !== undefined &&
      settled.has(server)
    ) {
      const record = {...claim.record, takenFrom: undefined};
      return [{record, expectedRevision: claim.revision}];
    }
    if (
      !isForgotten &&
      claim !== undefined &&
      !isAbandoned(claim.record, review)
    ) {
      return [];
    }
    // A partitioned host must not take the claims of the majority.
    if (minorityMs > 0 && minorityMs < MINORITY_DELAY_MS) {
      return [];
    }
    // A host that is cut from the server could not give orders.
    const candidates = live.filter(({name}) => cutMs(name, server) === 0);
    if (chooseByRendezvous(server, candidates) !== self) {
      return [];
    }
    const record: ClaimRecord = {
      type: 'claim',
      server,
      host: self,
      fence: nextFence(claim?.record.fence ?? 0, era),
      takenFrom: isForgotten
        ? eraMs < FORGOTTEN_CLAIM_MS
          ? UNKNOWN_HOLDER
          : undefined
        : claim?.record.host,
    };
    return [{record, expectedRevision: claim?.revision}];
  });
};

/** Whether a claim was written in an era of the store. */
export const isOfEra = (
  claim: Pick<ClaimRecord, 'fence'> | undefined,
  era: number,
): boolean => claim !== undefined && claim.fence >= firstFence(era);

const nextFence = (fence: number, era: number): number =>
  Math.max(fence + 1, firstFence(era));

const isAbandoned = (
  {host, server}: ClaimRecord,
  {self, live, cutMs, unreachableMs}: ClaimReview,
): boolean =>
  host !== self &&
  (live.some(({name}) => name === host)
    ? cutMs(host, server) > CUT_HOLDER_TIMEOUT_MS
    : unreachableMs(host) > HOLDER_TIMEOUT_MS);

/** A claim of this host, with what this process knows about its takeover. */
export interface HeldClaim {
  readonly record: ClaimRecord;
  /** When this process first saw that it holds the claim. */
  readonly heldSince: Instant;
  /**
   * When the previous holder was first seen to know that it lost the claim.
   */
  readonly yieldConfirmedAt: Instant | undefined;
}

/** Conditions for issuing an order. */
export interface OrderConditions {
  /** Milliseconds since the claims were last confirmed to be current. */
  readonly claimsAgeMs: number;
  /** Minimum pause between the orders of two issuers, milliseconds. */
  readonly orderLeaseMs: number;
  readonly at: Instant;
}

/**
 * Whether the holder may issue an order now: a recent read showed its claim,
 * and if it took the claim over, the previous holder no longer issues orders
 * and the pause between two issuers has passed.
 */
export const mayIssueOrders = (
  claim: HeldClaim,
  {claimsAgeMs, orderLeaseMs, at}: OrderConditions,
): boolean =>
  claimsAgeMs < CLAIM_VALIDITY_MS &&
  (claim.record.takenFrom === undefined ||
    isTakeoverComplete(claim, orderLeaseMs, at));

/**
 * Whether a takeover is complete: the previous holder has confirmed that it
 * lost the claim, or its claim has expired, and the pause between two issuers
 * has passed since.
 */
export const isTakeoverComplete = (
  {heldSince, yieldConfirmedAt}: HeldClaim,
  orderLeaseMs: number,
  at: Instant,
): boolean => {
  const handoverGapMs = orderLeaseMs + TAKEOVER_MARGIN_MS;
  return (
    elapsedMs(heldSince, at) >= CLAIM_VALIDITY_MS + handoverGapMs ||
    (yieldConfirmedAt !== undefined &&
      elapsedMs(yieldConfirmedAt, at) >= handoverGapMs)
  );
};
