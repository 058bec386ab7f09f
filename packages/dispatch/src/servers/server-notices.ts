import type {Instant} from '@basilworks/core';

/** What a server says of itself with an answer. */
export interface ServerNotice {
  /** It ends soon and takes nothing new. */
  readonly leaving: boolean;
  /** It wants nothing from this host for so long, milliseconds. */
  readonly pauseMs: number | undefined;
  /** Requests a second that it takes from all hosts together. */
  readonly requestsPerSecond: number | undefined;
}

/**
 * Whether a server limits its requests, and the time in which it can have said
 * so: from when its request left to when its answer arrived.
 */
export interface RateLimitReport {
  /** Undefined where it takes any number. */
  readonly requestsPerSecond: number | undefined;
  readonly after: Instant;
  readonly before: Instant;
}

/** What other hosts should know of one run of a server. */
export interface ServerStatus {
  readonly leaving: boolean;
  /** Undefined where it never named a limit. */
  readonly rateLimit: RateLimitReport | undefined;
}

/** Time in which a word is passed on, milliseconds: some rounds of exchanges. */
const NEWS_MS = 10_000;

/** What one run of a server has said of itself, as far as this host knows. */
export class ServerNotices {
  private pause: {since: Instant; forMs: number} | undefined;
  private word: RateLimitReport | undefined;
  private limitedOnce = false;
  private leavingSince: Instant | undefined;

  /** It said that it leaves; a run that leaves never comes back. */
  get leaving(): boolean {
    return this.leavingSince !== undefined;
  }

  /**
   * Takes what an answer said; returns whether that changes anything. The
   * request left at `sentAt`.
   */
  apply(notice: ServerNotice, sentAt: Instant, at: Instant): boolean {
    const {leaving, pauseMs, requestsPerSecond} = notice;
    const leaves = leaving && this.takeLeaving(at);
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
   * Takes a word on the limit, this host's own or another's; returns whether
   * the limit changes. Answers overtake each other: of two that may have been
   * given in either order, the stricter counts.
   */
  applyRateLimit(word: RateLimitReport): boolean {
    const known = this.word;
    const before = this.requestsPerSecond;
    this.limitedOnce ||= word.requestsPerSecond !== undefined;
    if (known === undefined || isLater(word, known)) {
      this.word = word;
    } else if (!isLater(known, word) && !isStricter(known, word)) {
      this.word = {...word, before: latest(word.before, known.before)};
    }
    return this.requestsPerSecond !== before;
  }

  /** Takes what another host passed on; returns whether it changes anything. */
  applyStatus({leaving, rateLimit}: ServerStatus, at: Instant): boolean {
    const leaves = leaving && this.takeLeaving(at);
    const limits = rateLimit !== undefined && this.applyRateLimit(rateLimit);
    return leaves || limits;
  }

  /** What is to be passed on; undefined if nothing was said lately. */
  status(at: Instant): ServerStatus | undefined {
    const leaving = isNews(this.leavingSince, at);
    const word =
      this.limitedOnce && isNews(this.word?.before, at) ? this.word : undefined;
    return leaving || word !== undefined
      ? {leaving, rateLimit: word}
      : undefined;
  }

  /** Requests a second over all hosts; undefined where there is no limit. */
  get requestsPerSecond(): number | undefined {
    return this.word?.requestsPerSecond;
  }

  /** The latest word on its limit; undefined where it never named one. */
  get rateLimitReport(): RateLimitReport | undefined {
    return this.limitedOnce ? this.word : undefined;
  }

  /** How much longer it wants nothing from this host, milliseconds. */
  pauseLeftMs(at: Instant): number {
    // A step of the time of day must not end a pause.
    return this.pause === undefined
      ? 0
      : Math.max(0, this.pause.forMs - monotonicMs(this.pause.since, at));
  }

  /** Whether it takes nothing from this host, whatever the rate. */
  refuses(at: Instant): boolean {
    return this.leaving || this.pauseLeftMs(at) > 0;
  }

  private takeLeaving(at: Instant): boolean {
    const isNew = this.leavingSince === undefined;
    this.leavingSince ??= at;
    return isNew;
  }
}

const isNews = (since: Instant | undefined, at: Instant): boolean =>
  since !== undefined && monotonicMs(since, at) < NEWS_MS;

const monotonicMs = (from: Instant, to: Instant): number =>
  to.monotonicMs - from.monotonicMs;

const latest = (one: Instant, other: Instant): Instant =>
  monotonicMs(one, other) > 0 ? other : one;

/** Whether one word was certainly given after another. */
const isLater = (word: RateLimitReport, other: RateLimitReport): boolean =>
  monotonicMs(other.before, word.after) >= 0;

const isStricter = (word: RateLimitReport, other: RateLimitReport): boolean =>
  (word.requestsPerSecond ?? Infinity) < (other.requestsPerSecond ?? Infinity);
