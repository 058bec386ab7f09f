import type {Instant} from '@basilworks/core';

/** What a server reports about itself with a response. */
export interface ServerNotice {
  /** Whether it is shutting down and accepts no new requests. */
  readonly leaving: boolean;
  /** Time for which it asks this host to send nothing, milliseconds. */
  readonly pauseMs: number | undefined;
  /** Requests per second that it accepts from all hosts together. */
  readonly requestsPerSecond: number | undefined;
}

/**
 * A server's rate limit, and the interval in which it was issued: from when the
 * request was sent to when its response arrived.
 */
export interface RateLimitReport {
  /** Undefined where there is no limit. */
  readonly requestsPerSecond: number | undefined;
  readonly after: Instant;
  readonly before: Instant;
}

/** What is relayed to other hosts about one server instance. */
export interface ServerStatus {
  readonly leaving: boolean;
  /** Undefined where it never reported a limit. */
  readonly rateLimit: RateLimitReport | undefined;
}

/**
 * Time for which a status is relayed, milliseconds: several rounds of
 * exchanges.
 */
const STATUS_VALIDITY_MS = 10_000;

/**
 * What one server instance has reported about itself, as known to this host.
 */
export class ServerNotices {
  private pause: {since: Instant; forMs: number} | undefined;
  private rateLimit: RateLimitReport | undefined;
  private limitedOnce = false;
  private leavingSince: Instant | undefined;

  /**
   * Whether it reported that it is leaving, which an instance never revokes.
   */
  get leaving(): boolean {
    return this.leavingSince !== undefined;
  }

  /**
   * Applies the notice of a response to a request sent at `sentAt`. Returns
   * whether anything changed.
   */
  apply(notice: ServerNotice, sentAt: Instant, at: Instant): boolean {
    const {leaving, pauseMs, requestsPerSecond} = notice;
    const leaves = leaving && this.markLeaving(at);
    const pauses = pauseMs !== undefined && pauseMs > this.pauseLeftMs(at);
    if (pauses) {
      this.pause = {since: at, forMs: pauseMs};
    }
    const limits = this.applyRateLimit({
      requestsPerSecond,
      after: sentAt,
      before: at,
    });
    return leaves || pauses || limits;
  }

  /**
   * Applies a rate limit received by this host or relayed by another. Returns
   * whether the limit changed. Responses may overtake each other: of two whose
   * order is unknown, the stricter limit wins.
   */
  applyRateLimit(report: RateLimitReport): boolean {
    const known = this.rateLimit;
    const before = this.requestsPerSecond;
    this.limitedOnce ||= report.requestsPerSecond !== undefined;
    if (known === undefined || isLater(report, known)) {
      this.rateLimit = report;
    } else if (!isLater(known, report) && !isStricter(known, report)) {
      this.rateLimit = {...report, before: latest(report.before, known.before)};
    }
    return this.requestsPerSecond !== before;
  }

  /**
   * Applies a status relayed by another host. Returns whether anything changed.
   */
  applyStatus({leaving, rateLimit}: ServerStatus, at: Instant): boolean {
    const leaves = leaving && this.markLeaving(at);
    const limits = rateLimit !== undefined && this.applyRateLimit(rateLimit);
    return leaves || limits;
  }

  /**
   * Returns the status to relay; undefined if nothing was reported recently.
   */
  status(at: Instant): ServerStatus | undefined {
    const leaving = isRecent(this.leavingSince, at);
    const rateLimit =
      this.limitedOnce && isRecent(this.rateLimit?.before, at)
        ? this.rateLimit
        : undefined;
    return leaving || rateLimit !== undefined
      ? {leaving, rateLimit}
      : undefined;
  }

  /** Requests per second over all hosts; undefined where there is no limit. */
  get requestsPerSecond(): number | undefined {
    return this.rateLimit?.requestsPerSecond;
  }

  /**
   * The latest rate limit report; undefined where it never reported a limit.
   */
  get rateLimitReport(): RateLimitReport | undefined {
    return this.limitedOnce ? this.rateLimit : undefined;
  }

  /** Remaining time of the requested pause, milliseconds. */
  pauseLeftMs(at: Instant): number {
    // A step of the wall clock must not end a pause.
    return this.pause === undefined
      ? 0
      : Math.max(0, this.pause.forMs - monotonicMs(this.pause.since, at));
  }

  /** Whether it accepts no requests from this host, regardless of the rate. */
  refuses(at: Instant): boolean {
    return this.leaving || this.pauseLeftMs(at) > 0;
  }

  private markLeaving(at: Instant): boolean {
    const isNew = this.leavingSince === undefined;
    this.leavingSince ??= at;
    return isNew;
  }
}

const isRecent = (since: Instant | undefined, at: Instant): boolean =>
  since !== undefined && monotonicMs(since, at) < STATUS_VALIDITY_MS;

const monotonicMs = (from: Instant, to: Instant): number =>
  to.monotonicMs - from.monotonicMs;

const latest = (one: Instant, other: Instant): Instant =>
  monotonicMs(one, other) > 0 ? other : one;

/** Whether one report was certainly issued after another. */
const isLater = (report: RateLimitReport, other: RateLimitReport): boolean =>
  monotonicMs(other.before, report.after) >= 0;

const isStricter = (report: RateLimitReport, other: RateLimitReport): boolean =>
  (report.requestsPerSecond ?? Infinity) <
  (other.requestsPerSecond ?? Infinity);
