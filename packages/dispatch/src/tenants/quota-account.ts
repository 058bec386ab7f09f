import {elapsedMs, type Instant} from '@basilworks/core';

import {ALLOWANCE_VALIDITY_MS, type QuotaBounds} from './quota-bounds.js';
import type {QuotaAnswer, QuotaAsk} from './quota-meter.js';

/** Intervals of asks without waiting requests, ms: by the meter's balance. */
const NORMAL_PERIOD_MS = 1_000;
const LOW_BALANCE_PERIOD_MS = 250;

/** Share of the burst below which the balance is low. */
const LOW_BALANCE_SHARE = 1 / 8;

/** Longest time for which a host refuses without another ask, ms. */
const LONGEST_DENIAL_MS = 250;

/** Time constant of the mean demand, milliseconds. */
const DEMAND_DECAY_MS = 2_000;

/** Idle time after which a tenant's allowance is left to expire, ms. */
const IDLE_MS = 3_000;

/** Requests that a host wants to be able to admit at once. */
const READY_REQUESTS = 8;

/** Tokens spent by one request. */
export interface Spend {
  readonly tokens: number;
  readonly at: Instant;
}

/** Refusal by a host without asking the meter. */
export interface Denial {
  readonly retryAfterMs: number;
  readonly provisional: boolean;
}

/**
 * Part of a tenant's quota that one instance of a host may spend. Covers most
 * requests without a message to the meter.
 */
export class QuotaAccount {
  private allowance = 0;
  private spent = 0;
  private lapsed = 0;
  private serial = 0;
  /** Send time of the latest ask that was answered. */
  private renewedAt: Instant | undefined;
  private askedAt: Instant | undefined;
  private demandAt: Instant | undefined;
  private demandRate = 0;
  private meanTokens = 0;
  /** Spends that are refunded if the request does not run, oldest first. */
  private readonly refundable = new Set<Spend>();
  private refundableTokens = 0;
  private reported = 0;
  private refused = 0;
  private latest: {answer: QuotaAnswer; at: Instant} | undefined;

  constructor(private bounds: QuotaBounds) {}

  setBounds(bounds: QuotaBounds): void {
    this.bounds = bounds;
  }

  /** Tokens that may be spent now. */
  available(at: Instant): number {
    this.expireAllowance(at);
    return this.allowance - this.spent - this.lapsed;
  }

  /** Balance of the meter by its latest answer, and the age of that answer. */
  latestBalance(at: Instant): {balance: number; ageMs: number} | undefined {
    return (
      this.latest && {
        balance: this.latest.answer.balance,
        ageMs: elapsedMs(this.latest.at, at),
      }
    );
  }

  /** Counts a request of the tenant, whatever its outcome. */
  recordDemand(tokens: number, at: Instant): void {
    const share = this.decayFactor(at);
    this.demandRate =
      this.demandRate * share + (tokens * 1_000) / DEMAND_DECAY_MS;
    this.meanTokens +=
      this.demandAt === undefined ? tokens : (tokens - this.meanTokens) / 8;
    this.demandAt = at;
  }

  /** Spends tokens if that many are available. */
  trySpend(tokens: number, at: Instant): Spend | undefined {
    if (this.available(at) < tokens) {
      return undefined;
    }
    const spend = {tokens, at};
    this.spent += tokens;
    this.refundable.add(spend);
    this.refundableTokens += tokens;
    return spend;
  }

  /**
   * Settles a finished request. Returns the tokens refunded: all of them if it
   * did not run, none if it ran or the time for refunds has passed.
   */
  settle(spend: Spend, ran: boolean, at: Instant): number {
    this.expireAllowance(at);
    this.closeExpiredRefunds(at);
    if (!this.closeRefund(spend) || ran) {
      return 0;
    }
    this.spent -= spend.tokens;
    return spend.tokens;
  }

  /** Returns a local refusal while the latest answer rules out a grant. */
  denial(tokens: number, at: Instant): Denial | undefined {
    if (this.latest === undefined) {
      return undefined;
    }
    const {answer} = this.latest;
    const passedMs = elapsedMs(this.latest.at, at);
    if (passedMs >= Math.min(answer.nextMs, LONGEST_DENIAL_MS)) {
      return undefined;
    }
    const queuedMs = this.refillMs(this.refused);
    this.refused += tokens;
    const remainingMs = Math.max(answer.nextMs, answer.retryAfterMs) - passedMs;
    return {
      retryAfterMs: Math.min(remainingMs + queuedMs, this.bounds.windowMs),
      provisional: answer.provisional,
    };
  }

  /** Whether to ask the meter although no request waits. */
  isRenewalDue(at: Instant): boolean {
    const available = this.available(at);
    this.closeExpiredRefunds(at);
    const sinceMs =
      this.askedAt === undefined ? Infinity : elapsedMs(this.askedAt, at);
    const balance = this.latest?.answer.balance ?? 0;
    const low = balance < this.bounds.burst * LOW_BALANCE_SHARE;
    if (sinceMs < (low ? LOW_BALANCE_PERIOD_MS : NORMAL_PERIOD_MS)) {
      return false;
    }
    const idle =
      this.demandAt === undefined || elapsedMs(this.demandAt, at) > IDLE_MS;
    const leftMs =
      this.renewedAt === undefined
        ? 0
        : ALLOWANCE_VALIDITY_MS - elapsedMs(this.renewedAt, at);
    return (
      this.spent - this.refundableTokens > this.reported ||
      (!idle &&
        (available < this.wish(at) / 2 || leftMs <= ALLOWANCE_VALIDITY_MS / 2))
    );
  }

  /** Creates the next ask; `needs` are the costs of all waiting requests. */
  ask(needs: readonly number[], at: Instant): QuotaAsk {
    this.expireAllowance(at);
    this.closeExpiredRefunds(at);
    this.askedAt = at;
    this.serial += 1;
    this.reported = this.spent - this.refundableTokens;
    const {serial, allowance, lapsed, reported: spent, refused} = this;
    this.refused = 0;
    const wish = this.wish(at);
    // Refundable tokens count as unspent to the meter.
    const open = this.refundableTokens;
    const opened = open > 0 ? [open, ...needs] : needs;
    return {serial, allowance, spent, lapsed, wish, needs: opened, refused};
  }

  /** Time in which the quota refills by `tokens`, milliseconds. */
  refillMs(tokens: number): number {
    return (tokens / this.bounds.perSecond) * 1_000;
  }

  /**
   * Applies the answer to an ask sent at `askedAt`. Returns the increase of the
   * allowance.
   */
  applyAnswer(answer: QuotaAnswer, askedAt: Instant, at: Instant): number {
    this.expireAllowance(at);
    if (elapsedMs(askedAt, at) >= ALLOWANCE_VALIDITY_MS) {
      return 0;
    }
    const rise = Math.max(0, answer.allowance - this.allowance);
    this.allowance += rise;
    if (
      this.renewedAt === undefined ||
      elapsedMs(this.renewedAt, askedAt) > 0
    ) {
      this.renewedAt = askedAt;
      this.latest = {answer, at};
    }
    return rise;
  }

  /** Whether the account can be removed without loss. */
  isIdle(at: Instant): boolean {
    return (
      this.available(at) <= 0 &&
      (this.demandAt === undefined ||
        elapsedMs(this.demandAt, at) > 10 * IDLE_MS)
    );
  }

  private wish(at: Instant): number {
    return this.demandAt === undefined || elapsedMs(this.demandAt, at) > IDLE_MS
      ? 0
      : READY_REQUESTS * this.meanTokens +
          2 * this.demandRate * this.decayFactor(at);
  }

  private decayFactor(at: Instant): number {
    return this.demandAt === undefined
      ? 0
      : Math.exp(-Math.max(0, elapsedMs(this.demandAt, at)) / DEMAND_DECAY_MS);
  }

  /** Expires an allowance not renewed in time; others may be granted it. */
  private expireAllowance(at: Instant): void {
    if (
      this.renewedAt !== undefined &&
      elapsedMs(this.renewedAt, at) >= ALLOWANCE_VALIDITY_MS
    ) {
      this.renewedAt = undefined;
      this.lapsed = this.allowance - this.spent;
      this.refundable.clear();
      this.refundableTokens = 0;
    }
  }

  private closeExpiredRefunds(at: Instant): void {
    for (const spend of this.refundable) {
      if (elapsedMs(spend.at, at) < this.bounds.refundableMs) {
        return;
      }
      this.closeRefund(spend);
    }
  }

  /** Ends the refundability of a spend; returns whether it was refundable. */
  private closeRefund(spend: Spend): boolean {
    const known = this.refundable.delete(spend);
    this.refundableTokens -= known ? spend.tokens : 0;
    return known;
  }
}
