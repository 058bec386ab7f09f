import {elapsedMs, type Instant} from '@basilworks/core';

import {ServerSpeed} from './server-speed.js';

/** Load that a server reported with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Current service time relative to the usual, where reported. */
  readonly slowness?: number | undefined;
}

/** Properties of a served request that affect its response time. */
export interface ServedWork {
  /** Number of prompt tokens; 0 without a prompt. */
  readonly promptTokens: number;
  /** Slots of the server. */
  readonly slots: number;
}

/** Outcome of an attempt at a server, as it concerns the server's health. */
export type AttemptOutcome =
  'served' | 'failed' | 'refused' | 'unreachable' | 'misdirected' | 'cancelled';

/** Validity of a reported load, milliseconds: the time of a few answers. */
const LOAD_VALIDITY_MS = 1_000;

/**
 * Weight of the newest sample in a running mean: averages about the last ten.
 */
const SAMPLE_WEIGHT = 0.1;

/**
 * Weight of the newest gap between two events in the running mean. A server
 * sends about a hundred events per second, so the events of the last second
 * determine the mean.
 */
const GAP_WEIGHT = 0.05;

/** Validity of the mean gap without new events, milliseconds. */
const GAP_VALIDITY_MS = 2_000;

/** Number of gaps that a mean gap requires. */
const MIN_GAPS = 10;

/**
 * Validity of the issuer's word that prompts are limited, milliseconds: longer
 * than any adapter lease, with which requests need no answer of the issuer.
 */
const PROMPT_LIMIT_VALIDITY_MS = 2_000;

/** First and longest pause after a server was unreachable, milliseconds. */
const INITIAL_PAUSE_MS = 500;
const MAX_PAUSE_MS = 4_000;

/**
 * What this host has observed of one server instance. Its failures and pauses
 * are this host's own; other hosts may observe others.
 */
export class ServerHealth {
  /** Requests of this host in flight at the server. */
  inFlight = 0;
  /** Share of recent attempts that failed, 0 to 1. */
  failureShare = 0;
  /** Mean time to the response head, milliseconds. */
  responseMs: number | undefined;

  /** Speed of the server, where it reports its slowness. */
  readonly speed = new ServerSpeed();

  private promptLimitAt: Instant | undefined;
  private gaps = {meanMs: 0, count: 0};
  private lastGapAt: Instant | undefined;
  private reported: (ReportedLoad & {at: Instant}) | undefined;
  private sentSinceReport = 0;
  private endedSinceReport = 0;
  private failuresInRow = 0;
  private pausedSince: Instant | undefined;
  private silentSince: Instant | undefined;
  private unanswered = 0;

  /** Records that a request was sent. */
  recordSent(at: Instant): void {
    this.inFlight += 1;
    this.sentSinceReport += 1;
    if (this.unanswered === 0) {
      this.silentSince = at;
    }
    this.unanswered += 1;
  }

  /** Records that bytes arrived from the server. */
  recordActivity(at: Instant): void {
    this.silentSince = at;
  }

  /** Records that a stream event arrived `gapMs` after the previous one. */
  recordGap(gapMs: number, at: Instant): void {
    const stale =
      this.lastGapAt === undefined ||
      elapsedMs(this.lastGapAt, at) > GAP_VALIDITY_MS;
    const {meanMs, count} = stale ? {meanMs: gapMs, count: 0} : this.gaps;
    this.gaps = {
      meanMs: meanMs + GAP_WEIGHT * (gapMs - meanMs),
      count: count + 1,
    };
    this.lastGapAt = at;
  }

  /** Mean gap between the events of its streams, milliseconds, if known. */
  meanGapMs(at: Instant): number | undefined {
    return this.lastGapAt === undefined ||
      this.gaps.count < MIN_GAPS ||
      elapsedMs(this.lastGapAt, at) > GAP_VALIDITY_MS
      ? undefined
      : this.gaps.meanMs;
  }

  /**
   * Records a response head after `waitedMs`, with `work` if the request is
   * served.
   */
  recordResponse(
    waitedMs: number,
    load: ReportedLoad | undefined,
    at: Instant,
    work?: ServedWork,
  ): void {
    this.recordActivity(at);
    this.unanswered = Math.max(0, this.unanswered - 1);
    this.responseMs = movingAverage(this.responseMs ?? waitedMs, waitedMs);
    if (load !== undefined) {
      this.applyLoad(load, at);
      if (load.slowness !== undefined) {
        this.speed.recordSlowness(load.slowness, at);
        if (work !== undefined) {
          const {promptTokens, slots} = work;
          const queuedShare = load.waiting / slots;
          this.speed.recordAnswer({waitedMs, promptTokens, queuedShare});
        }
      }
    }
  }

  /**
   * Applies the issuer's report: the number of requests of all hosts at the
   * server, and its long-term slowdown.
   */
  applyIssuerReport(requests: number, at: Instant, slowness?: number): void {
    this.speed.longTermSlowdown = slowness ?? this.speed.longTermSlowdown;
    this.applyLoad({running: requests, waiting: 0}, at);
  }

  /** Records whether the server's issuer limits its pending prompts. */
  recordPromptLimit(limited: boolean, at: Instant): void {
    this.promptLimitAt = limited ? at : undefined;
  }

  /** Whether prompts for the server have to be announced to its issuer. */
  limitsPrompts(at: Instant): boolean {
    return (
      this.promptLimitAt !== undefined &&
      elapsedMs(this.promptLimitAt, at) <= PROMPT_LIMIT_VALIDITY_MS
    );
  }

  private applyLoad(load: ReportedLoad, at: Instant): void {
    this.reported = {...load, at};
    this.sentSinceReport = 0;
    this.endedSinceReport = 0;
  }

  /**
   * Records the end of a request, `beforeHead` when no response head had
   * arrived.
   */
  recordEnd(outcome: AttemptOutcome, beforeHead: boolean, at: Instant): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.endedSinceReport += 1;
    if (beforeHead) {
      this.unanswered = Math.max(0, this.unanswered - 1);
    }
    OUTCOME_EFFECTS[outcome](this, at);
  }

  /** Records the result of a health check. */
  recordHealthCheck(healthy: boolean, at: Instant): void {
    if (healthy) {
      this.recordActivity(at);
      this.recover();
    } else {
      this.pause(at);
    }
  }

  /** Requests of all hosts at the server, as far as known. */
  load(at: Instant): number {
    const {reported} = this;
    if (
      reported === undefined ||
      elapsedMs(reported.at, at) > LOAD_VALIDITY_MS
    ) {
      return this.inFlight;
    }
    const sinceReport = this.sentSinceReport - this.endedSinceReport;
    return Math.max(
      this.inFlight,
      reported.running + reported.waiting + sinceReport,
    );
  }

  /**
   * Age of the latest load report, milliseconds; undefined if it has expired.
   */
  loadAgeMs(at: Instant): number | undefined {
    const ageMs =
      this.reported === undefined ? Infinity : elapsedMs(this.reported.at, at);
    return ageMs > LOAD_VALIDITY_MS ? undefined : ageMs;
  }

  /** Whether it was recently unreachable and is still paused. */
  isPaused(at: Instant): boolean {
    return (
      this.pausedSince !== undefined &&
      elapsedMs(this.pausedSince, at) < this.pauseMs()
    );
  }

  /** Whether a health check must succeed before it is used again. */
  needsCheck(): boolean {
    return this.pausedSince !== undefined;
  }

  /**
   * Time for which requests have waited without any bytes from it,
   * milliseconds.
   */
  silentMs(at: Instant): number {
    return this.unanswered === 0 || this.silentSince === undefined
      ? 0
      : elapsedMs(this.silentSince, at);
  }

  /** Counts a success. */
  recover(): void {
    this.failureShare = movingAverage(this.failureShare, 0);
    this.failuresInRow = 0;
    this.pausedSince = undefined;
  }

  /** Counts a failed request. */
  fail(): void {
    this.failureShare = movingAverage(this.failureShare, 1);
  }

  /**
   * Pauses requests to it, with exponential backoff for consecutive failures.
   */
  pause(at: Instant): void {
    this.failuresInRow += 1;
    this.pausedSince = at;
  }

  private pauseMs(): number {
    return Math.min(
      MAX_PAUSE_MS,
      INITIAL_PAUSE_MS * 2 ** Math.min(10, this.failuresInRow - 1),
    );
  }
}

const movingAverage = (mean: number, sample: number): number =>
  mean + SAMPLE_WEIGHT * (sample - mean);

const OUTCOME_EFFECTS: Readonly<
  Record<AttemptOutcome, (health: ServerHealth, at: Instant) => void>
> = {
  served: (health) => {
    health.recover();
  },
  failed: (health) => {
    health.fail();
  },
  // A refusal shows that the server is alive; its reported load explains it.
  refused: () => undefined,
  unreachable: (health, at) => {
    health.fail();
    health.pause(at);
  },
  misdirected: (health, at) => {
    health.pause(at);
  },
  cancelled: () => undefined,
};
