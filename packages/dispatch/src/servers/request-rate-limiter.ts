import type {Instant} from '@basilworks/core';

/** Whether one request may go to a limited server now. */
export type Permit =
  | {readonly granted: true}
  | {
      readonly granted: false;
      /** When it is worth asking again, milliseconds. */
      readonly nextMs: number;
      /** When a caller should come back, as many wait, milliseconds. */
      readonly retryAfterMs: number;
    };

/** What a meter would let go. */
export interface RateLimiterCapacity {
  /** A request could go now. */
  readonly available: boolean;
  /** Time that a request takes up, milliseconds. */
  readonly msPerRequest: number;
}

/** Requests that may go at once, as time at the rate; one at the least. */
const BURST_S = 0.5;

/**
 * A new meter does not know what others let go just before, so that it begins
 * as if this many seconds of the rate had been spent.
 */
const START_DEBT_S = 1;

/** Kept below a smaller limit too, as only answers tell that a limit ends. */
const LEAST_PER_SECOND = 0.25;

/** Time in which a more urgent request that was turned away goes first, ms. */
const PRECEDENCE_MS = 1_000;

/** Time over which requests that were turned away are counted, ms. */
const PRESSURE_MS = 1_000;

/**
 * Lets requests go to one run of a server at the rate that it takes from all
 * hosts. Time is monotonic, as a step of the time of day must not refill it.
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
    this.perSecond = Math.max(LEAST_PER_SECOND, requestsPerSecond);
    this.level = -START_DEBT_S * this.perSecond;
  }

  /** Another limit holds from now on. */
  setLimit(requestsPerSecond: number, at: Instant): void {
    this.refill(at);
    this.perSecond = Math.max(LEAST_PER_SECOND, requestsPerSecond);
  }

  /** Takes one request of a rank; 0 is the most urgent. */
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

  /** What it would let go now; nothing is taken. */
  capacity(at: Instant): RateLimiterCapacity {
    this.refill(at);
    return {available: this.level >= 1, msPerRequest: 1_000 / this.perSecond};
  }

  /**
   * Takes a call that can't be left out; returns after how many milliseconds
   * it may go. Requests wait behind it.
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
