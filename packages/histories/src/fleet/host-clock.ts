import type {Instant} from '@basilworks/core';

/** How a host's clocks differ from true time. */
export interface ClockOptions {
  readonly monotonicOffsetMs: number;
  readonly wallOffsetMs: number;
  /** Milliseconds that the clocks count in one true millisecond. */
  readonly rate: number;
}

/** The two clocks of one host. */
export class HostClock {
  private wallJumpMs = 0;
  private stoppedMs = 0;

  constructor(private readonly options: ClockOptions) {}

  /** Reads both clocks at a true time. */
  read(trueMs: number): Instant {
    const {monotonicOffsetMs, wallOffsetMs, rate} = this.options;
    return {
      monotonicMs: monotonicOffsetMs + (trueMs - this.stoppedMs) * rate,
      wallMs: wallOffsetMs + trueMs * rate + this.wallJumpMs,
    };
  }

  /** Sets the wall clock forward or back. */
  jumpWall(byMs: number): void {
    this.wallJumpMs += byMs;
  }

  /** Makes the monotonic clock miss a time that has passed. */
  stopMonotonic(forMs: number): void {
    this.stoppedMs += forMs;
  }

  /** True milliseconds in which the clocks count `durationMs`. */
  toTrueMs(durationMs: number): number {
    return durationMs / this.options.rate;
  }
}
