import type {Instant} from '@basilworks/core';

import {ALLOWANCE_VALIDITY_MS, type QuotaBounds} from './quota-bounds.js';

/** What a host says of a tenant's account, and wants. Counts are absolute. */
export interface QuotaAsk {
  /** Grows with each ask of the account. */
  readonly serial: number;
  /** All that the host was given. */
  readonly allowance: number;
  /** All that was spent and will not be given back. */
  readonly spent: number;
  /** All that ran out unspent. */
  readonly lapsed: number;
  /** What it wants at hand besides the needs. */
  readonly wish: number;
  /** Costs of the requests that wait, in their order. */
  readonly needs: readonly number[];
  /** What it refused by itself since its last ask. */
  readonly refused: number;
}

/** What a meter answers. */
export interface QuotaAnswer {
  readonly allowance: number;
  /** What the bucket holds. */
  readonly balance: number;
  /** When it is worth asking again, milliseconds; 0 at once. */
  readonly nextMs: number;
  /** When a request that was refused should come back, milliseconds. */
  readonly retryAfterMs: number;
  /** The meter does not know yet what others gave out before it. */
  readonly provisional: boolean;
}

interface Account {
  allowance: number;
  /** Spent or run out. */
  used: number;
  lapsed: number;
  serial: number;
  /** Allowance that another meter gave. */
  adopted: number;
  answeredMs: number;
}

/**
 * After what is given out has run out at its host, milliseconds: the clocks of
 * two hosts drift apart by less.
 */
const DRIFT_MS = 200;

/** Time until nothing is left that an earlier meter gave out, milliseconds. */
const SETTLING_MS = ALLOWANCE_VALIDITY_MS + DRIFT_MS;

/** Between two looks for accounts whose allowance ran out, milliseconds. */
const EXPIRY_PERIOD_MS = 250;

/** Part of the burst that is kept back for requests that find nothing. */
const KEPT_SHARE = 1 / 4;

/** The same, where hosts get equal parts, as some have used theirs already. */
const LINE_KEPT_SHARE = 1 / 2;

/** How long a request too large for the overdraft has tokens saved up, ms. */
const SAVING_MS = 4_000;

/** Part of the refill that is saved up for such a request. */
const SAVED_SHARE = 1 / 2;

/**
 * Keeps one tenant to its quota, summed over all hosts, while it sends many
 * times its usual. Time is monotonic, as a step of the time of day must not
 * refill it.
 *
 * Bucket and unspent allowances together never hold more than the capacity, so
 * that any window has at most the rate, the capacity and one overdraft.
 */
export class QuotaMeter {
  private readonly accounts = new Map<string, Account>();
  private readonly freshUntilMs: number;
  private level: number;
  /** Saved up for a request that needs more than small ones leave. */
  private saved = 0;
  private saving: {amount: number; untilMs: number} | undefined;
  /** What was refused and may come back, less what the rate has served. */
  private queue = 0;
  /** What hosts may still spend. */
  private held = 0;
  private nowMs: number;
  private expiredMs: number;

  constructor(
    private bounds: QuotaBounds,
    /** Since when no other host has metered the tenant, as far as known. */
    since: Instant,
    /** Part of the quota that this meter gives out. */
    private scale = 1,
    /** It stands in for a meter that some hosts don't reach. */
    private readonly standsIn = false,
  ) {
    this.nowMs = since.monotonicMs;
    this.expiredMs = this.nowMs;
    this.freshUntilMs = this.nowMs + SETTLING_MS;
    this.level = -bounds.initialDebt * scale;
  }

  /** Another quota, or part of it, holds from now on. */
  setBounds(bounds: QuotaBounds, scale: number, at: Instant): void {
    if (bounds === this.bounds && scale === this.scale) {
      return;
    }
    this.refill(at);
    if (this.level < 0) {
      // A debt is paid in the same time as before.
      this.level *= bounds.perSecond / this.bounds.perSecond;
    }
    this.bounds = bounds;
    this.scale = scale;
    this.add(0);
  }

  /** Answers an ask; `holder` names one run of a host. */
  answer(holder: string, ask: QuotaAsk, at: Instant): QuotaAnswer {
    this.refill(at);
    const account = this.accounts.get(holder) ?? this.open(holder, ask);
    let retryAfterMs = 0;
    if (ask.serial > account.serial) {
      this.report(account, ask);
      this.queue += ask.refused;
      retryAfterMs = this.grant(account, ask);
    }
    account.answeredMs = this.nowMs;
    return {
      allowance: account.allowance,
      balance: this.level,
      nextMs: Math.max(0, (-this.level / this.rate) * 1_000),
      retryAfterMs,
      provisional: this.fresh,
    };
  }

  /** Whether no host has anything from this meter. */
  isIdle(at: Instant): boolean {
    this.refill(at);
    return this.accounts.size === 0 && this.level >= this.ceiling();
  }

  private get rate(): number {
    return this.bounds.perSecond * this.scale;
  }

  private get fresh(): boolean {
    return this.standsIn || this.nowMs < this.freshUntilMs;
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
    this.held += this.heldBy(account);
    return account;
  }

  private report(account: Account, ask: QuotaAsk): void {
    const before = this.heldBy(account);
    if (ask.allowance > account.allowance) {
      account.allowance = ask.allowance;
      account.adopted = ask.allowance;
    }
    const lapsed = ask.lapsed - account.lapsed;
    account.serial = ask.serial;
    account.lapsed = ask.lapsed;
    account.used = ask.spent + ask.lapsed;
    const freed = before - this.heldBy(account);
    this.held -= freed;
    this.add(Math.max(0, Math.min(lapsed, freed)));
  }

  /** Returns when the first need that is not met should come back, ms. */
  private grant(account: Account, ask: QuotaAsk): number {
    let spare = account.allowance - account.used;
    let retryAfterMs = 0;
    for (const need of ask.needs) {
      const missing = Math.max(0, need - spare);
      if (missing === 0 || this.take(missing)) {
        this.give(account, missing);
        spare += missing - need;
      } else {
        retryAfterMs ||= this.refuse(missing);
      }
    }
    const left = this.level - this.ceilingWhenIdle() * KEPT_SHARE;
    const ahead = Math.min(ask.wish - spare, this.line() - spare, left);
    if (ahead > 0) {
      this.level -= ahead;
      this.give(account, ahead);
    }
    return retryAfterMs;
  }

  /** What one host may have at hand, so that each gets its part. */
  private line(): number {
    const {capacity, burst} = this.bounds;
    return (
      (this.scale * (capacity - burst * LINE_KEPT_SHARE)) / this.accounts.size
    );
  }

  private give(account: Account, tokens: number): void {
    account.allowance += tokens;
    this.held += tokens;
  }

  /**
   * Takes tokens for one request if only the overdraft is wanting. A large
   * request is met as soon as a small one is.
   */
  private take(tokens: number): boolean {
    const wanting = Math.max(0, tokens - this.bounds.overdraft * this.scale);
    const saved = wanting > 0 ? this.saved : 0;
    if (this.level + saved < wanting) {
      return false;
    }
    if (wanting > 0) {
      this.saved = 0;
      this.saving = undefined;
    }
    this.level += saved - tokens;
    return true;
  }

  private refuse(tokens: number): number {
    const wanting = Math.max(0, tokens - this.bounds.overdraft * this.scale);
    if (wanting > 0 && wanting <= this.ceilingWhenIdle()) {
      const needed = Math.min(tokens, this.ceilingWhenIdle());
      const amount = Math.max(this.saving?.amount ?? 0, needed);
      this.saving = {amount, untilMs: this.nowMs + SAVING_MS};
    }
    const missing = Math.max(0, wanting - this.level) + this.queue;
    this.queue += tokens;
    return Math.min(this.bounds.windowMs, (missing / this.rate) * 1_000);
  }

  private refill(at: Instant): void {
    const passedMs = Math.max(0, at.monotonicMs - this.nowMs);
    const wasFresh = this.fresh;
    this.nowMs += passedMs;
    const expiredMs = this.nowMs - this.expiredMs;
    if (wasFresh !== this.fresh || expiredMs >= EXPIRY_PERIOD_MS) {
      this.expire();
    }
    let tokens = (passedMs / 1_000) * this.rate;
    this.queue = Math.max(0, this.queue - tokens);
    if (this.saving !== undefined && this.nowMs > this.saving.untilMs) {
      this.level += this.saved;
      this.saved = 0;
      this.saving = undefined;
    }
    if (this.saving !== undefined) {
      const part = Math.min(
        tokens * SAVED_SHARE,
        this.saving.amount - this.saved,
      );
      this.saved += Math.max(0, part);
      tokens -= Math.max(0, part);
    }
    this.add(tokens);
  }

  /** Adds tokens as far as the capacity allows; a debt never grows by that. */
  private add(tokens: number): void {
    const ceiling = this.ceiling();
    const level = this.level + tokens;
    this.level =
      level > ceiling ? Math.max(ceiling, Math.min(this.level, 0)) : level;
  }

  /** Forgets what can't be spent any more. */
  private expire(): void {
    this.expiredMs = this.nowMs;
    this.held = 0;
    for (const [holder, account] of this.accounts) {
      if (this.nowMs - account.answeredMs > SETTLING_MS) {
        this.accounts.delete(holder);
      } else {
        this.held += this.heldBy(account);
      }
    }
  }

  /** What an account may spend, without what an earlier meter answers for. */
  private heldBy({allowance, used, adopted}: Account): number {
    const known = this.fresh ? Math.max(0, adopted - used) : 0;
    return allowance - used - known;
  }

  private ceiling(): number {
    const {bounds, scale} = this;
    const capacity = this.fresh
      ? Math.min(bounds.capacity, bounds.overlap)
      : bounds.capacity;
    return Math.min(
      bounds.burst * scale,
      capacity * scale - this.held - this.saved,
    );
  }

  private ceilingWhenIdle(): number {
    const {burst, overlap} = this.bounds;
    return this.scale * (this.fresh ? Math.min(burst, overlap) : burst);
  }
}
