import type {Instant} from '@basilworks/core';

import {ALLOWANCE_VALIDITY_MS, type QuotaBounds} from './quota-bounds.js';

/**
 * A host's report on its account of a tenant, and its request for tokens.
 * Counts are cumulative, except for `refused`.
 */
export interface QuotaAsk {
  /** Increases with each ask of the account. */
  readonly serial: number;
  /** Total tokens granted to the host. */
  readonly allowance: number;
  /** Total tokens spent and no longer refundable. */
  readonly spent: number;
  /** Total tokens that expired unspent. */
  readonly lapsed: number;
  /** Tokens that the host wants in reserve, in addition to `needs`. */
  readonly wish: number;
  /** Costs of the waiting requests, in order of arrival. */
  readonly needs: readonly number[];
  /** Tokens of the requests that the host refused itself since its last ask. */
  readonly refused: number;
}

/** Answer of a meter to a `QuotaAsk`. */
export interface QuotaAnswer {
  readonly allowance: number;
  /** Tokens in the bucket; negative in debt. */
  readonly balance: number;
  /** Time until the bucket is out of debt, milliseconds; 0 if it is not. */
  readonly nextMs: number;
  /** Time after which a refused request should be retried, milliseconds. */
  readonly retryAfterMs: number;
  /** The meter does not know yet what earlier meters have granted. */
  readonly provisional: boolean;
}

interface Account {
  allowance: number;
  /** Tokens spent or expired. */
  used: number;
  lapsed: number;
  serial: number;
  /** Allowance granted by another meter. */
  adopted: number;
  answeredMs: number;
}

/**
 * Margin after the expiry of an allowance, milliseconds: the clocks of two
 * hosts drift apart by less in that time.
 */
const CLOCK_DRIFT_MS = 200;

/** Time until all grants of an earlier meter have expired, milliseconds. */
const PROVISIONAL_MS = ALLOWANCE_VALIDITY_MS + CLOCK_DRIFT_MS;

/** Interval between checks for expired accounts, milliseconds. */
const EXPIRY_PERIOD_MS = 250;

/** Share of the burst reserved for requests that no allowance covers. */
const RESERVE_SHARE = 1 / 4;

/**
 * Share of the burst left out of the equal limits of hosts, as some hosts have
 * already spent theirs.
 */
const HOST_LIMIT_RESERVE_SHARE = 1 / 2;

/** Time for which tokens are saved for one request above the overdraft, ms. */
const SAVING_MS = 4_000;

/** Share of the refill that is saved for such a request. */
const SAVED_SHARE = 1 / 2;

/**
 * Token bucket that limits one tenant to its quota over all hosts, also under
 * many times its usual load. Uses monotonic time, so that a step of the wall
 * clock does not refill it.
 *
 * Bucket and unspent allowances together never exceed the capacity, so that the
 * use in any window is at most rate * window + capacity + one overdraft.
 */
export class QuotaMeter {
  private readonly accounts = new Map<string, Account>();
  private readonly provisionalUntilMs: number;
  private level: number;
  /** Tokens saved for a large request; small ones can't use them. */
  private savedTokens = 0;
  /** Tokens to save for the large request, and until when. */
  private savingGoal: {amount: number; untilMs: number} | undefined;
  /** Refused tokens that may be retried, less the refill since. */
  private retryBacklog = 0;
  /** Tokens that hosts may still spend. */
  private outstanding = 0;
  private nowMs: number;
  private expiredMs: number;

  constructor(
    private bounds: QuotaBounds,
    /** Time since which no other host is known to have metered the tenant. */
    since: Instant,
    /** Share of the quota that this meter grants. */
    private scale = 1,
    /** Whether it stands in for a meter that some hosts can't reach. */
    private readonly isStandIn = false,
  ) {
    this.nowMs = since.monotonicMs;
    this.expiredMs = this.nowMs;
    this.provisionalUntilMs = this.nowMs + PROVISIONAL_MS;
    this.level = -bounds.initialDebt * scale;
  }

  /** Changes the quota, or the share of it that this meter grants. */
  setBounds(bounds: QuotaBounds, scale: number, at: Instant): void {
    if (bounds === this.bounds && scale === this.scale) {
      return;
    }
    this.refill(at);
    if (this.level < 0) {
      // The time to repay a debt stays the same.
      this.level *= bounds.perSecond / this.bounds.perSecond;
    }
    this.bounds = bounds;
    this.scale = scale;
    this.add(0);
  }

  /** Answers an ask; `holder` identifies one instance of a host. */
  answer(holder: string, ask: QuotaAsk, at: Instant): QuotaAnswer {
    this.refill(at);
    const account = this.accounts.get(holder) ?? this.open(holder, ask);
    let retryAfterMs = 0;
    if (ask.serial > account.serial) {
      this.applyReport(account, ask);
      this.retryBacklog += ask.refused;
      retryAfterMs = this.grant(account, ask);
    }
    account.answeredMs = this.nowMs;
    return {
      allowance: account.allowance,
      balance: this.level,
      nextMs: Math.max(0, (-this.level / this.rate) * 1_000),
      retryAfterMs,
      provisional: this.provisional,
    };
  }

  /** Whether the bucket is full and no host has an account. */
  isIdle(at: Instant): boolean {
    this.refill(at);
    return this.accounts.size === 0 && this.level >= this.ceiling();
  }

  private get rate(): number {
    return this.bounds.perSecond * this.scale;
  }

  private get provisional(): boolean {
    return this.isStandIn || this.nowMs < this.provisionalUntilMs;
  }

  private open(holder: string, ask: QuotaAsk): Account {
    const used = ask.spent + ask.lapsed;
    const account: Account = {
      allowance: Math.max(used, ask.allowance),
      used,
      lapsed: ask.lapsed,
      serial: ask.serial - 1,
      adopted: ask.allowance,
      answeredMs: this.nowMs,
    };
    this.accounts.set(holder, account);
    this.outstanding += this.outstandingOf(account);
    return account;
  }

  private applyReport(account: Account, ask: QuotaAsk): void {
    const before = this.outstandingOf(account);
    if (ask.allowance > account.allowance) {
      account.allowance = ask.allowance;
      account.adopted = ask.allowance;
    }
    const lapsed = ask.lapsed - account.lapsed;
    account.serial = ask.serial;
    account.lapsed = ask.lapsed;
    account.used = ask.spent + ask.lapsed;
    const freed = before - this.outstandingOf(account);
    this.outstanding -= freed;
    this.add(Math.max(0, Math.min(lapsed, freed)));
  }

  /** Returns the time after which to retry the first unmet need, ms. */
  private grant(account: Account, ask: QuotaAsk): number {
    let spare = account.allowance - account.used;
    let retryAfterMs = 0;
    for (const need of ask.needs) {
      const missing = Math.max(0, need - spare);
      if (missing === 0 || this.tryWithdraw(missing)) {
        this.addAllowance(account, missing);
        spare += missing - need;
      } else {
        retryAfterMs ||= this.recordRefusal(missing);
      }
    }
    const left = this.level - this.ceilingWhenIdle() * RESERVE_SHARE;
    const ahead = Math.min(ask.wish - spare, this.hostLimit() - spare, left);
    if (ahead > 0) {
      this.level -= ahead;
      this.addAllowance(account, ahead);
    }
    return retryAfterMs;
  }

  /** Largest unspent allowance of one host, so that each gets its share. */
  private hostLimit(): number {
    const {capacity, burst} = this.bounds;
    return (
      (this.scale * (capacity - burst * HOST_LIMIT_RESERVE_SHARE)) /
      this.accounts.size
    );
  }

  private addAllowance(account: Account, tokens: number): void {
    account.allowance += tokens;
    this.outstanding += tokens;
  }

  /**
   * Takes tokens for one request if the overdraft covers the shortfall. A large
   * request within the overdraft is granted as soon as a small one.
   */
  private tryWithdraw(tokens: number): boolean {
    const required = Math.max(0, tokens - this.bounds.overdraft * this.scale);
    const saved = required > 0 ? this.savedTokens : 0;
    if (this.level + saved < required) {
      return false;
    }
    if (required > 0) {
      this.savedTokens = 0;
      this.savingGoal = undefined;
    }
    this.level += saved - tokens;
    return true;
  }

  /**
   * Records the refusal of a need. Returns the time after which to retry it,
   * milliseconds.
   */
  private recordRefusal(tokens: number): number {
    const required = Math.max(0, tokens - this.bounds.overdraft * this.scale);
    if (required > 0 && required <= this.ceilingWhenIdle()) {
      const needed = Math.min(tokens, this.ceilingWhenIdle());
      const amount = Math.max(this.savingGoal?.amount ?? 0, needed);
      this.savingGoal = {amount, untilMs: this.nowMs + SAVING_MS};
    }
    const missing = Math.max(0, required - this.level) + this.retryBacklog;
    this.retryBacklog += tokens;
    return Math.min(this.bounds.windowMs, (missing / this.rate) * 1_000);
  }

  private refill(at: Instant): void {
    const passedMs = Math.max(0, at.monotonicMs - this.nowMs);
    const wasProvisional = this.provisional;
    this.nowMs += passedMs;
    const expiredMs = this.nowMs - this.expiredMs;
    if (wasProvisional !== this.provisional || expiredMs >= EXPIRY_PERIOD_MS) {
      this.expire();
    }
    let tokens = (passedMs / 1_000) * this.rate;
    this.retryBacklog = Math.max(0, this.retryBacklog - tokens);
    if (this.savingGoal !== undefined && this.nowMs > this.savingGoal.untilMs) {
      this.level += this.savedTokens;
      this.savedTokens = 0;
      this.savingGoal = undefined;
    }
    if (this.savingGoal !== undefined) {
      const part = Math.min(
        tokens * SAVED_SHARE,
        this.savingGoal.amount - this.savedTokens,
      );
      this.savedTokens += Math.max(0, part);
      tokens -= Math.max(0, part);
    }
    this.add(tokens);
  }

  /** Adds tokens up to the ceiling; never increases a debt. */
  private add(tokens: number): void {
    const ceiling = this.ceiling();
    const level = this.level + tokens;
    this.level =
      level > ceiling ? Math.max(ceiling, Math.min(this.level, 0)) : level;
  }

  /** Removes accounts whose allowance can no longer be spent. */
  private expire(): void {
    this.expiredMs = this.nowMs;
    this.outstanding = 0;
    for (const [holder, account] of this.accounts) {
      if (this.nowMs - account.answeredMs > PROVISIONAL_MS) {
        this.accounts.delete(holder);
      } else {
        this.outstanding += this.outstandingOf(account);
      }
    }
  }

  /** Unspent allowance, without what an earlier meter accounts for. */
  private outstandingOf({allowance, used, adopted}: Account): number {
    const known = this.provisional ? Math.max(0, adopted - used) : 0;
    return allowance - used - known;
  }

  private ceiling(): number {
    const {bounds, scale} = this;
    const capacity = this.provisional
      ? Math.min(bounds.capacity, bounds.overlap)
      : bounds.capacity;
    return Math.min(
      bounds.burst * scale,
      capacity * scale - this.outstanding - this.savedTokens,
    );
  }

  private ceilingWhenIdle(): number {
    const {burst, overlap} = this.bounds;
    return this.scale * (this.provisional ? Math.min(burst, overlap) : burst);
  }
}
