import {elapsedMs, type Instant} from '@basilworks/core';

/** A server's word on its slowness holds this long, ms: it changes often. */
const SLOWNESS_VALIDITY_MS = 300;

/** What was learned of a server is kept this long without answers, ms. */
const LESSONS_VALIDITY_MS = 10_000;

/** What one more answer leaves of the earlier ones: about the last twenty. */
const KEPT_SHARE = 0.95;

/** Weight of the newest slowness in the running mean: about the last ten. */
const SLOWNESS_WEIGHT = 0.1;

/** Bounds of what is believed, so that one odd figure does little. */
const LEAST_SLOWNESS = 0.05;
const GREATEST_SLOWNESS = 50;

/** An answer of a server as a lesson on how fast it works. */
export interface AnsweredWork {
  /** Time to the head of the answer, milliseconds. */
  readonly waitedMs: number;
  /** Tokens of the prompt; 0 where the request has none. */
  readonly promptTokens: number;
  /** Requests waiting there for each of its places. */
  readonly queuedShare: number;
}

/**
 * Sums over answers, from which a line through time by prompt tokens follows;
 * times are those of a server that is not slow and has no queue.
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

/** How fast one run of a server works, where the server tells its slowness. */
export class ServerSpeed {
  /** How slow it is for good, as all hosts go by; 1 where nobody said. */
  longTermSlowdown = 1;

  private latest: {slowness: number; at: Instant} | undefined;
  private meanSlowness = 1;
  private sums = NO_WORK;

  /** The server told how long work takes there against the usual. */
  applyIssuerReport(slowness: number, at: Instant): void {
    const believed = Math.min(
      GREATEST_SLOWNESS,
      Math.max(LEAST_SLOWNESS, slowness),
    );
    if (this.isKnown(at)) {
      this.meanSlowness += SLOWNESS_WEIGHT * (believed - this.meanSlowness);
    } else {
      this.meanSlowness = believed;
      this.sums = NO_WORK;
    }
    this.latest = {slowness: believed, at};
  }

  /** An answer came after the server told its slowness with it. */
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

  /** Whether its server has told its slowness lately enough to go by. */
  isKnown(at: Instant): boolean {
    return (this.ageMs(at) ?? Infinity) < LESSONS_VALIDITY_MS;
  }

  /** Age of the latest word, milliseconds. */
  ageMs(at: Instant): number | undefined {
    return this.latest === undefined
      ? undefined
      : elapsedMs(this.latest.at, at);
  }

  /** How slow it is now; undefined where the word is too old. */
  currentSlowness(at: Instant): number | undefined {
    return (this.ageMs(at) ?? Infinity) < SLOWNESS_VALIDITY_MS
      ? this.latest?.slowness
      : undefined;
  }

  /** How slow it says to be as a rule. */
  typicalSlowness(at: Instant): number | undefined {
    return this.isKnown(at) ? this.meanSlowness : undefined;
  }

  /** What was learned of its work; nothing where that is too old. */
  work(at: Instant): WorkSums {
    return this.isKnown(at) ? this.sums : NO_WORK;
  }
}
