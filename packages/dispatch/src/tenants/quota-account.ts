import {elapsedMs, type Instant} from '@basilworks/core';

import {ALLOWANCE_VALIDITY_MS, type QuotaBounds} from './quota-bounds.js';
import type {QuotaAnswer, QuotaAsk} from './quota-meter.js';

/** Between two asks that no request waits for, ms: far from and near a quota. */
const CALM_PERIOD_MS = 1_000;
const TIGHT_PERIOD_MS = 250;

/** Part of the burst below which a quota is near. */
const TIGHT_SHARE = 1 / 8;

/** Longest time for which a refusal stands without another ask, ms. */
const LONGEST_DENIAL_MS = 250;

/** Time over which use is averaged, milliseconds. */
const USE_MS = 2_000;

/** A tenant that sent nothing for this long has its allowance run out, ms. */
const IDLE_MS = 3_000;

/** Requests that a host wants to be able to take at once. */
const READY_REQUESTS = 8;

/** Tokens that one request has spent. */
export interface Spend {
  readonly tokens: number;
  readonly at: Instant;
}

/** Why a host refuses by itself. */
export interface Denial {
  readonly retryAfterMs: number;
  readonly provisional: boolean;
}

/**
 * What one run of a host may spend of a tenant's quota. Most requests are met
 * from it without a message.
 */
export class QuotaAccount {
  private allowance = 0;
  private spent = 0;
  private lapsed = 0;
  private serial = 0;
  /** When the latest ask left that was answered. */
  private renewedAt: Instant | undefined;
  private askedAt: Instant | undefined;
  private usedAt: Instant | undefined;
  private useRate = 0;
  private meanTokens = 0;
  /** Spent, and given back if the request does not run. */
  private readonly open = new Set<Spend>();
  private openTokens = 0;
  private reported = 0;
  private refused = 0;
  private latest: {answer: QuotaAnswer; at: Instant} | undefined;

  constructor(private bounds: QuotaBounds) {}

  setBounds(bounds: QuotaBounds): void {
    this.bounds = bounds;
  }

  /** Tokens that may be spent now. */
  available(at: Instant): number {
    this.lapse(at);
    return this.allowance - this.spent - this.lapsed;
  }

  /** What the meter had left, by its latest answer, and how old that is. */
  latestBalance(at: Instant): {balance: number; ageMs: number} | undefined {
    return (
      this.latest && {
        balance: this.latest.answer.balance,
        ageMs: elapsedMs(this.latest.at, at),
      }
    );
  }

  /** A request of the tenant came, whatever becomes of it. */
  recordDemand(tokens: number, at: Instant): void {
    const share = this.fade(at);
    this.useRate = this.useRate * share + (tokens * 1_000) / USE_MS;
    this.meanTokens +=
      this.usedAt === undefined ? tokens : (tokens - this.meanTokens) / 8;
    this.usedAt = at;
  }

  /** Spends tokens if there are as many. */
  trySpend(tokens: number, at: Instant): Spend | undefined {
    if (this.available(at) < tokens) {
      return undefined;
    }
    const spend = {tokens, at};
    this.spent += tokens;
    this.open.add(spend);
    this.openTokens += tokens;
    return spend;
  }

  /**
   * A request ended. Returns the tokens that are given back: all where it did
   * not run, unless that took so long that they count as spent.
   */
  settle(spend: Spend, ran: boolean, at: Instant): number {
    this.lapse(at);
    this.closeOld(at);
    if (!this.close(spend) || ran) {
      return 0;
    }
    this.spent -= spend.tokens;
    return spend.tokens;
  }

  /** What the host refuses without asking. */
  denial(tokens: number, at: Instant): Denial | undefined {
    if (this.latest === undefined) {
      return undefined;
    }
    const {answer} = this.latest;
    const passedMs = elapsedMs(this.latest.at, at);
    if (passedMs >= Math.min(answer.nextMs, LONGEST_DENIAL_MS)) {
      return undefined;
    }
    const behindMs = this.refillMs(this.refused);
    this.refused += tokens;
    const toldMs = Math.max(answer.nextMs, answer.retryAfterMs) - passedMs;
    return {
      retryAfterMs: Math.min(toldMs + behindMs, this.bounds.windowMs),
      provisional: answer.provisional,
    };
  }

  /** Whether to ask although no request waits. */
  isRenewalDue(at: Instant): boolean {
    const available = this.available(at);
    this.closeOld(at);
    const sinceMs =
      this.askedAt === undefined ? Infinity : elapsedMs(this.askedAt, at);
    const balance = this.latest?.answer.balance ?? 0;
    const tight = balance < this.bounds.burst * TIGHT_SHARE;
    if (sinceMs < (tight ? TIGHT_PERIOD_MS : CALM_PERIOD_MS)) {
      return false;
    }
    const idle =
      this.usedAt === undefined || elapsedMs(this.usedAt, at) > IDLE_MS;
    const leftMs =
      this.renewedAt === undefined
        ? 0
        : ALLOWANCE_VALIDITY_MS - elapsedMs(this.renewedAt, at);
    return (
      this.spent - this.openTokens > this.reported ||
      (!idle &&
        (available < this.wish(at) / 2 || leftMs <= ALLOWANCE_VALIDITY_MS / 2))
    );
  }

  /** What to ask; `needs` are the costs of all requests that wait. */
  ask(needs: readonly number[], at: Instant): QuotaAsk {
    this.lapse(at);
    this.closeOld(at);
    this.askedAt = at;
    this.serial += 1;
    this.reported = this.spent - this.openTokens;
    const {serial, allowance, lapsed, reported: spent, refused} = this;
    this.refused = 0;
    const wish = this.wish(at);
    // What may be given back counts as unspent to the meter.
    const open = this.openTokens;
    const opened = open > 0 ? [open, ...needs] : needs;
    return {serial, allowance, spent, lapsed, wish, needs: opened, refused};
  }

  /** How long the quota takes for tokens, milliseconds. */
  refillMs(tokens: number): number {
    return (tokens / this.bounds.perSecond) * 1_000;
  }

  /**
   * Takes an answer to what was asked at some time; returns by how much the
   * allowance rises.
   */
  applyAnswer(answer: QuotaAnswer, askedAt: Instant, at: Instant): number {
    this.lapse(at);
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

  /** Whether nothing would be lost with it. */
  isIdle(at: Instant): boolean {
    return (
      this.available(at) <= 0 &&
      (this.usedAt === undefined || elapsedMs(this.usedAt, at) > 10 * IDLE_MS)
    );
  }

  private wish(at: Instant): number {
    return this.usedAt === undefined || elapsedMs(this.usedAt, at) > IDLE_MS
      ? 0
      : READY_REQUESTS * this.meanTokens + 2 * this.useRate * this.fade(at);
  }

  private fade(at: Instant): number {
    return this.usedAt === undefined
      ? 0
      : Math.exp(-Math.max(0, elapsedMs(this.usedAt, at)) / USE_MS);
  }

  /** What was not renewed in time may be given to others. */
  private lapse(at: Instant): void {
    if (
      this.renewedAt !== undefined &&
      elapsedMs(this.renewedAt, at) >= ALLOWANCE_VALIDITY_MS
    ) {
      this.renewedAt = undefined;
      this.lapsed = this.allowance - this.spent;
      this.open.clear();
      this.openTokens = 0;
    }
  }

  private closeOld(at: Instant): void {
    for (const spend of this.open) {
      if (elapsedMs(spend.at, at) < this.bounds.refundableMs) {
        return;
      }
      this.close(spend);
    }
  }

  private close(spend: Spend): boolean {
    const known = this.open.delete(spend);
    this.openTokens -= known ? spend.tokens : 0;
    return known;
  }
}
