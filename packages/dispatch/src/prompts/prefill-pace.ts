import {elapsedMs, type Instant} from '@basilworks/core';

/** A limit on prefill work, and the target for event gaps that it keeps. */
export interface PrefillLimit {
  readonly limitMs: number;
  readonly targetMs: number;
}

/** The longest recent gap between two events of a stream on a server. */
export interface EventGap {
  readonly gapMs: number;
  /** Longest gap with which the stream is still on time, milliseconds. */
  readonly targetMs: number;
}

/** A gap is close to its target from this share of it, and keeps the limit. */
export const CLOSE_GAP_SHARE = 0.75;

/** Share of its target from which a gap reduces the limit. */
const LONG_GAP_SHARE = 0.9;

/** Share of the target that gaps should reach after a reduction. */
const AIMED_GAP_SHARE = 0.9;

/**
 * Share of a gap that the work of a busy period has to account for to explain
 * it. A gap with less work has another cause, as a slow link or server.
 */
const EXPLAINED_SHARE = 0.6;

/** Largest reduction of the limit at a time. */
const MINIMUM_REDUCTION = 0.7;

/** First limit, as a share of the target. */
const INITIAL_LIMIT_SHARE = 0.8;

/** Limit at which it is lifted, as a multiple of the target. */
const LIFTED_LIMIT_SHARE = 3;

/** Smallest limit, milliseconds: about one small prompt. */
const MINIMUM_LIMIT_MS = 20;

/**
 * Growth of the limit for each second without a close gap. It compounds, so
 * that a limit that isn't needed is lifted within some seconds.
 */
const GROWTH_PER_QUIET_SECOND = 1.05;

/** Interval between two growths, milliseconds. */
const GROWTH_INTERVAL_MS = 1_000;

/**
 * How long a reduced limit bounds further growth, milliseconds: each attempt
 * above it may make the streams of a whole batch late.
 */
const REDUCTION_MEMORY_MS = 30_000;

/**
 * Time after the limit was lifted for which none is adopted, milliseconds: until
 * the other hosts have lifted theirs.
 */
const LIFTED_MEMORY_MS = 30_000;

/**
 * Time within which two hosts must report long gaps on one server for the limit
 * to be set, milliseconds. A gap that a single host sees may be due to its link.
 */
const CONFIRMATION_MS = 1_000;

/**
 * Time for which the work of a busy period may explain a gap, milliseconds: the
 * gap itself and the delay of its report.
 */
export const EXPLANATION_MS = 600;

/** Prefill speed until one was observed, tokens per millisecond. */
const ASSUMED_TOKENS_PER_MS = 20;

/** Bounds of the believed speed, tokens per millisecond. */
const SLOWEST_TOKENS_PER_MS = 2;
const FASTEST_TOKENS_PER_MS = 200;

/**
 * Weights of the newest speed in the running mean. Network times and the steps
 * in progress make samples too slow, never too fast.
 */
const FASTER_WEIGHT = 0.3;
const SLOWER_WEIGHT = 0.02;

/** Smaller prompts tell more of the network than of the speed, tokens. */
const MINIMUM_SAMPLE_TOKENS = 500;

/**
 * How much prefill work the servers of one service may be sent in one busy
 * period, as learned from the event gaps of their streams, and how fast they
 * prefill.
 *
 * The running streams of a batch produce no events while their engine prefills.
 * Prompts that arrive together therefore make every stream of the batch late,
 * although each prompt could have waited for its first event. Where engines
 * prefill so little per step that gaps stay clear of the target, there is no
 * limit.
 */
export class PrefillPace {
  private limit: number | undefined;
  private tokensPerMs = ASSUMED_TOKENS_PER_MS;
  private targetMs = Infinity;
  private reducedAt: Instant | undefined;
  private closeAt: Instant | undefined;
  private grownAt: Instant | undefined;
  private liftedAt: Instant | undefined;
  /** The limit after its latest reduction, milliseconds. */
  private reducedTo = Infinity;
  /** Latest long gap of each server that no second host has reported yet. */
  private readonly unconfirmed = new Map<
    string,
    {readonly host: string; readonly at: Instant}
  >();

  /** Largest work of a busy period, milliseconds; undefined without a limit. */
  get limitMs(): number | undefined {
    return this.limit;
  }

  /** The limit as told to other hosts; undefined without a limit. */
  get prefillLimit(): PrefillLimit | undefined {
    const {limit: limitMs, targetMs} = this;
    return limitMs === undefined ? undefined : {limitMs, targetMs};
  }

  /**
   * Adopts the limit that another host learned from other servers of the
   * service, unless this host has one or found recently that it needs none.
   */
  adopt({limitMs, targetMs}: PrefillLimit, at: Instant): void {
    const lifted =
      this.liftedAt !== undefined &&
      elapsedMs(this.liftedAt, at) <= LIFTED_MEMORY_MS;
    if (this.limit === undefined && !lifted) {
      this.limit = limitMs;
      this.targetMs = targetMs;
      this.closeAt = at;
    }
  }

  /** Estimated time to prefill a prompt, milliseconds. */
  prefillMs(tokens: number): number {
    return tokens / this.tokensPerMs;
  }

  /**
   * Applies a long gap that a host observed on a server, where recent busy
   * periods had up to `busyMs` of prefill work.
   */
  recordGap(
    {gapMs, targetMs}: EventGap,
    observation: {server: string; host: string; busyMs: number},
    at: Instant,
  ): void {
    const share = gapMs / targetMs;
    if (share < CLOSE_GAP_SHARE) {
      return;
    }
    this.targetMs = targetMs;
    this.closeAt = at;
    if (share < LONG_GAP_SHARE) {
      return;
    }
    if (this.limit === undefined) {
      this.confirm(observation, at);
    } else if (observation.busyMs >= gapMs * EXPLAINED_SHARE) {
      this.reduce((observation.busyMs * AIMED_GAP_SHARE) / share, at);
    }
  }

  /** Records that a prompt has to wait for the limit, which may then grow. */
  recordWait(at: Instant): void {
    if (this.limit === undefined) {
      return;
    }
    const quietMs =
      this.closeAt === undefined ? 0 : elapsedMs(this.closeAt, at);
    const sinceGrowthMs =
      this.grownAt === undefined ? Infinity : elapsedMs(this.grownAt, at);
    if (quietMs < GROWTH_INTERVAL_MS || sinceGrowthMs < GROWTH_INTERVAL_MS) {
      return;
    }
    this.grownAt = at;
    this.limit = Math.max(
      this.limit,
      Math.min(
        this.limit * GROWTH_PER_QUIET_SECOND ** (quietMs / 1_000),
        this.maximumLimitMs(at),
      ),
    );
    if (this.limit > this.targetMs * LIFTED_LIMIT_SHARE) {
      this.limit = undefined;
      this.liftedAt = at;
    }
  }

  /**
   * Records the time from the send of a prompt to its first event, where no
   * other prompt was pending at the server.
   */
  recordPrefill(tokens: number, tookMs: number): void {
    if (tokens < MINIMUM_SAMPLE_TOKENS) {
      return;
    }
    const speed = Math.min(
      FASTEST_TOKENS_PER_MS,
      Math.max(SLOWEST_TOKENS_PER_MS, tokens / Math.max(1, tookMs)),
    );
    const weight = speed > this.tokensPerMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.tokensPerMs += weight * (speed - this.tokensPerMs);
  }

  private maximumLimitMs(at: Instant): number {
    return this.reducedAt === undefined ||
      elapsedMs(this.reducedAt, at) > REDUCTION_MEMORY_MS
      ? Infinity
      : this.reducedTo;
  }

  /**
   * Reduces the limit to work that keeps the target. A single prompt above the
   * limit doesn't reduce it, as a smaller limit would not change its gap.
   */
  private reduce(toMs: number, at: Instant): void {
    if (this.limit !== undefined && toMs < this.limit) {
      this.reducedAt = at;
      this.limit = Math.max(
        MINIMUM_LIMIT_MS,
        toMs,
        this.limit * MINIMUM_REDUCTION,
      );
      this.reducedTo = this.limit;
    }
  }

  /** Sets the limit once a second host reports a long gap on the server. */
  private confirm(
    {server, host}: {server: string; host: string},
    at: Instant,
  ): void {
    for (const [key, gap] of this.unconfirmed) {
      if (elapsedMs(gap.at, at) > CONFIRMATION_MS) {
        this.unconfirmed.delete(key);
      }
    }
    const known = this.unconfirmed.get(server);
    if (known !== undefined && known.host !== host) {
      this.unconfirmed.clear();
      this.reducedAt = at;
      this.reducedTo = Infinity;
      this.limit = Math.max(
        MINIMUM_LIMIT_MS,
        this.targetMs * INITIAL_LIMIT_SHARE,
      );
    } else {
      this.unconfirmed.set(server, {host, at});
    }
  }
}
