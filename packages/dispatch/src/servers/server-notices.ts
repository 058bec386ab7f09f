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
export interface RateWord {
  /** Undefined where it takes any number. */
  readonly requestsPerSecond: number | undefined;
  readonly after: Instant;
  readonly before: Instant;
}

/** What one run of a server has said of itself, as far as this host knows. */
export class ServerNotices {
  /** It said that it leaves; a run that leaves never comes back. */
  leaving = false;
  private pause: {since: Instant; forMs: number} | undefined;
  private word: RateWord | undefined;

  /**
   * Takes what an answer said; returns whether that changes anything. The
   * request left at `sentAt`.
   */
  take(notice: ServerNotice, sentAt: Instant, at: Instant): boolean {
    const {leaving, pauseMs, requestsPerSecond} = notice;
    const leaves = leaving && !this.leaving;
    this.leaving ||= leaving;
    const pauses = pauseMs !== undefined && pauseMs > this.pauseLeftMs(at);
    if (pauses) {
      this.pause = {since: at, forMs: pauseMs};
    }
    const limits = this.takeRate({
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
  takeRate(word: RateWord): boolean {
    const known = this.word;
    const before = this.requestsPerSecond;
    if (known === undefined || isLater(word, known)) {
      this.word = word;
    } else if (!isLater(known, word)) {
      const stricter = isStricter(word, known) ? word : known;
      this.word = {...stricter, before: latest(word.before, known.before)};
    }
    return this.requestsPerSecond !== before;
  }

  /** Requests a second over all hosts; undefined where there is no limit. */
  get requestsPerSecond(): number | undefined {
    return this.word?.requestsPerSecond;
  }

  /** The latest word on the limit, to be passed on. */
  get rateWord(): RateWord | undefined {
    return this.word;
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
}

const monotonicMs = (from: Instant, to: Instant): number =>
  to.monotonicMs - from.monotonicMs;

const latest = (one: Instant, other: Instant): Instant =>
  monotonicMs(one, other) > 0 ? other : one;

/** Whether one word was certainly given after another. */
const isLater = (word: RateWord, other: RateWord): boolean =>
  monotonicMs(other.before, word.after) >= 0;

const isStricter = (word: RateWord, other: RateWord): boolean =>
  (word.requestsPerSecond ?? Infinity) < (other.requestsPerSecond ?? Infinity);
