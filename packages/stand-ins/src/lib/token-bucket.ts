import type {Scheduler} from '../models/scheduler.js';

const MS_PER_SECOND = 1_000;

/** A rate limit that allows a burst of up to `capacity` after an idle time. */
export class TokenBucket {
  private tokens: number;
  private refilledMs: number;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly tokensPerSecond: number,
    private readonly capacity: number,
  ) {
    this.tokens = capacity;
    this.refilledMs = scheduler.nowMs();
  }

  /** Takes one token if there is one. */
  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** Takes a token in advance; returns the milliseconds until it is due. */
  reserve(): number {
    this.refill();
    this.tokens -= 1;
    return this.waitMs(0);
  }

  /** Milliseconds until `tryTake` can succeed. */
  untilNextMs(): number {
    this.refill();
    return this.waitMs(1);
  }

  private waitMs(target: number): number {
    const missing = Math.max(0, target - this.tokens);
    return (missing / this.tokensPerSecond) * MS_PER_SECOND;
  }

  private refill(): void {
    const nowMs = this.scheduler.nowMs();
    const gained =
      ((nowMs - this.refilledMs) / MS_PER_SECOND) * this.tokensPerSecond;
    this.tokens = Math.min(this.capacity, this.tokens + gained);
    this.refilledMs = nowMs;
  }
}
