import {elapsedMs, type Instant} from '@basilworks/core';
import type {Clock, LogFields, Logger} from '@basilworks/daemon';

/**
 * Lines a second that one process writes: a refusal for each request at several
 * times the load of a host, and what its orders add.
 */
const LINES_PER_S = 400;

/** Lines that may be written at once after a quiet time. */
const BURST_LINES = 800;

/**
 * Bounds the volume of a logger. Warnings and errors always pass; how many
 * other lines were left out is said with the next line that passes.
 */
export class RateLimitedLogger implements Logger {
  private tokens = BURST_LINES;
  private left = 0;
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
    if (this.take()) {
      this.logger.info(message, fields);
    }
  }

  debug(message: string, fields?: LogFields): void {
    if (this.take()) {
      this.logger.debug(message, fields);
    }
  }

  private take(): boolean {
    const at = this.clock.now();
    const elapsedS = Math.max(0, elapsedMs(this.refilledAt, at)) / 1_000;
    this.refilledAt = at;
    this.tokens = Math.min(BURST_LINES, this.tokens + elapsedS * LINES_PER_S);
    if (this.tokens < 1) {
      this.left += 1;
      return false;
    }
    this.tokens -= 1;
    if (this.left > 0) {
      this.logger.warn('log lines left out', {lines: this.left});
      this.left = 0;
    }
    return true;
  }
}
