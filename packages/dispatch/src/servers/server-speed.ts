import {elapsedMs, type Instant} from '@basilworks/core';

/** Validity of a reported slowness, milliseconds: it changes often. */
const SLOWNESS_VALIDITY_MS = 300;

/** Validity of the accumulated samples without new reports, milliseconds. */
const SAMPLES_VALIDITY_MS = 10_000;

/** Decay of the sums per answer: covers about the last twenty answers. */
const KEPT_SHARE = 0.95;

/**
 * Weight of the newest slowness in the running mean: averages about the last
 * ten.
 */
const SLOWNESS_WEIGHT = 0.1;

/**
 * Bounds of a reported slowness, which limit the effect of an outlying value.
 */
const MIN_SLOWNESS = 0.05;
const MAX_SLOWNESS = 50;

/** A response as a sample of a server's speed. */
export interface AnsweredWork {
  /** Time to the response head, milliseconds. */
  readonly waitedMs: number;
  /** Number of prompt tokens; 0 without a prompt. */
  readonly promptTokens: number;
  /** Waiting requests per slot. */
  readonly queuedShare: number;
}

/**
 * Sums for a linear regression of response time on prompt tokens. Times are
 * normalized to a server without slowdown or queue.
 */
export interface WorkSums {
  readonly answers: number;
  readonly tokens: number;
  readonly ms: number;
  readonly tokensSquared: number;
  readonly tokensMs: number;
}

export const NO_WORK: WorkSums = {
  answers: 0,
  tokens: 0,
  ms: 0,
  tokensSquared: 0,
  tokensMs: 0,
};

export const addWork = (
  sums: WorkSums,
  added: WorkSums,
  keptShare = 1,
): WorkSums => ({
  answers: sums.answers * keptShare + added.answers,
  tokens: sums.tokens * keptShare + added.tokens,
  ms: sums.ms * keptShare + added.ms,
  tokensSquared: sums.tokensSquared * keptShare + added.tokensSquared,
  tokensMs: sums.tokensMs * keptShare + added.tokensMs,
});

/** Speed of one server instance, where the server reports its slowness. */
export class ServerSpeed {
  /** Long-term slowdown in use by all hosts; 1 without any report. */
  longTermSlowdown = 1;

  private latest: {slowness: number; at: Instant} | undefined;
  private meanSlowness = 1;
  private sums = NO_WORK;

  /** Records the slowness that the server reported: 1 is its usual speed. */
  recordSlowness(slowness: number, at: Instant): void {
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
    if (this.isKnown(at)) {
      this.meanSlowness += SLOWNESS_WEIGHT * (bounded - this.meanSlowness);
    } else {
      this.meanSlowness = bounded;
      this.sums = NO_WORK;
    }
    this.latest = {slowness: bounded, at};
  }

  /** Records a response, after the slowness reported with it. */
  recordAnswer({waitedMs, promptTokens, queuedShare}: AnsweredWork): void {
    const ms = waitedMs / (this.latest?.slowness ?? 1) / (1 + queuedShare);
    this.sums = addWork(
      this.sums,
      {
        answers: 1,
        tokens: promptTokens,
        ms,
        tokensSquared: promptTokens * promptTokens,
        tokensMs: promptTokens * ms,
      },
      KEPT_SHARE,
    );
  }

  /** Whether the server reported its slowness recently enough to use it. */
  isKnown(at: Instant): boolean {
    return (this.ageMs(at) ?? Infinity) < SAMPLES_VALIDITY_MS;
  }

  /** Age of the latest report, milliseconds. */
  ageMs(at: Instant): number | undefined {
    return this.latest === undefined
      ? undefined
      : elapsedMs(this.latest.at, at);
  }

  /** Current slowness; undefined if the latest report has expired. */
  currentSlowness(at: Instant): number | undefined {
    return (this.ageMs(at) ?? Infinity) < SLOWNESS_VALIDITY_MS
      ? this.latest?.slowness
      : undefined;
  }

  /** Mean reported slowness; undefined if it has expired. */
  typicalSlowness(at: Instant): number | undefined {
    return this.isKnown(at) ? this.meanSlowness : undefined;
  }

  /** Sums over its responses; empty if they have expired. */
  work(at: Instant): WorkSums {
    return this.isKnown(at) ? this.sums : NO_WORK;
  }
}
