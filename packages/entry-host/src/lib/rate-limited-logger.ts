import {elapsedMs, type Instant} from '@basilworks/core';
import type {Clock, LogFields, Logger} from '@basilworks/daemon';

/**
 * Sustained log lines per second of one process. This covers one line for each
 * rejected request at several times the load of a host, plus its orders.
 */
const LINES_PER_S = 400;

/** Lines that may be written in a burst after an idle period. */
const BURST_LINES = 800;

/**
 * Limits the rate of a logger with a token bucket. Warnings and errors always
 * pass. The number of dropped lines is logged before the next line that passes.
 */
export class RateLimitedLogger implements Logger {
  private tokens = BURST_LINES;
  private dropped = 0;
  private refilledAt: Instant;

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {
    this.refilledAt = clock.now();
  }

  error(message: string, fields?: LogFields): void {
    this.logger.error(message, fields);
  }

  warn(message: string, fields?: LogFields): void {
    this.logger.warn(message, fields);
  }

  info(message: string, fields?: LogFields): void {
    if (this.acquire()) {
      this.logger.info(message, fields);
    }
  }

  debug(message: string, fields?: LogFields): void {
    if (this.acquire()) {
      this.logger.debug(message, fields);
    }
  }

  private acquire(): boolean {
    const at = this.clock.now();
    const elapsedS = Math.max(0, elapsedMs(this.refilledAt, at)) / 1_000;
    this.refilledAt = at;
    this.tokens = Math.min(BURST_LINES, this.tokens + elapsedS * LINES_PER_S);
    if (this.tokens < 1) {
      this.dropped += 1;
      return false;
    }
    this.tokens -= 1;
    if (this.dropped > 0) {
      this.logger.warn('log lines dropped', {lines: this.dropped});
      this.dropped = 0;
    }
    return true;
  }
}
