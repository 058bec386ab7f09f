import type {Instant} from '@basilworks/core';

/** Whether one request may be sent to a rate-limited server now. */
export type Permit =
  | {readonly granted: true}
  | {
      readonly granted: false;
      /** Time until the next attempt can succeed, milliseconds. */
      readonly nextMs: number;
      /**
       * Time after which a caller should retry, given the number of waiting
       * requests, milliseconds.
       */
      readonly retryAfterMs: number;
    };

/** Current capacity of a rate limiter. */
export interface RateLimiterCapacity {
  /** Whether a request could be sent now. */
  readonly available: boolean;
  /** Interval between requests at the rate, milliseconds. */
  readonly msPerRequest: number;
}

/** Burst size in seconds of the rate; at least one request. */
const BURST_S = 0.5;

/**
 * A new rate limiter doesn't know what its predecessor granted just before, so
 * it starts with this many seconds of the rate already spent.
 */
const INITIAL_DEBT_S = 1;

/**
 * Minimum rate even under a smaller limit, as only responses show that a limit
 * has ended.
 */
const MIN_PER_SECOND = 0.25;

/**
 * Time for which a rejected, more urgent request takes precedence,
 * milliseconds.
 */
const PRECEDENCE_MS = 1_000;

/** Time constant of the decaying count of rejected requests, milliseconds. */
const PRESSURE_MS = 1_000;

/**
 * Token bucket for requests to one server instance, at the rate that it accepts
 * from all hosts. Uses monotonic time, as a step of the wall clock must not
 * refill it.
 */
export class RequestRateLimiter {
  private level: number;
  private pressure = 0;
  private readonly deniedAt = new Map<number, Instant>();
  private perSecond: number;

  constructor(
    requestsPerSecond: number,
    private since: Instant,
  ) {
    this.perSecond = Math.max(MIN_PER_SECOND, requestsPerSecond);
    this.level = -INITIAL_DEBT_S * this.perSecond;
  }

  /** Changes the limit. */
  setLimit(requestsPerSecond: number, at: Instant): void {
    this.refill(at);
    this.perSecond = Math.max(MIN_PER_SECOND, requestsPerSecond);
  }

  /**
   * Acquires a permit for a request of a priority rank; 0 is the most urgent.
   */
  tryAcquire(priority: number, at: Instant): Permit {
    this.refill(at);
    if (this.level >= 1 && !this.isPreceded(priority, at)) {
      this.level -= 1;
      return {granted: true};
    }
    this.deniedAt.set(priority, at);
    this.pressure += 1;
    const nextMs = this.untilMs(1);
    const waitingMs = (this.pressure / this.perSecond) * 1_000;
    return {granted: false, nextMs, retryAfterMs: nextMs + waitingMs};
  }

  /** Returns the current capacity without acquiring a permit. */
  capacity(at: Instant): RateLimiterCapacity {
    this.refill(at);
    return {available: this.level >= 1, msPerRequest: 1_000 / this.perSecond};
  }

  /**
   * Reserves a permit for a call that can't be omitted. Returns the delay after
   * which it may be sent, milliseconds. Requests wait behind it.
   */
  reserve(at: Instant): number {
    this.refill(at);
    const delayMs = this.untilMs(1);
    this.level -= 1;
    return delayMs;
  }

  private refill(at: Instant): void {
    const passedMs = Math.max(0, at.monotonicMs - this.since.monotonicMs);
    const burst = Math.max(1, BURST_S * this.perSecond);
    const refilled = this.level + (passedMs / 1_000) * this.perSecond;
    this.level = Math.min(burst, refilled);
    this.pressure *= Math.exp(-passedMs / PRESSURE_MS);
    this.since = at;
  }

  private untilMs(level: number): number {
    return Math.max(0, ((level - this.level) / this.perSecond) * 1_000);
  }

  private isPreceded(priority: number, at: Instant): boolean {
    return [...this.deniedAt].some(
      ([rank, since]) =>
        rank < priority && at.monotonicMs - since.monotonicMs < PRECEDENCE_MS,
    );
  }
}
