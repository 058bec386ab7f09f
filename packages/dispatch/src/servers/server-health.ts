import {elapsedMs, type Instant} from '@basilworks/core';

import {ServerSpeed} from './server-speed.js';

/** Load that a server reported with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** How long work takes there now against the usual, where it tells. */
  readonly slowness?: number | undefined;
}

/** A served request, as far as the time of its answer depends on it. */
export interface ServedWork {
  /** Tokens of its prompt; 0 where it has none. */
  readonly promptTokens: number;
  /** Places of the server. */
  readonly slots: number;
}

/** How an attempt at a server ended, as far as the server's health goes. */
export type AttemptOutcome =
  'served' | 'failed' | 'refused' | 'unreachable' | 'misdirected' | 'cancelled';

/** A reported load is used for this long, milliseconds: a few answers' time. */
const LOAD_VALIDITY_MS = 1_000;

/** Weight of the newest sample in a running mean: about the last ten. */
const SAMPLE_WEIGHT = 0.1;

/**
 * Weight of the newest pause between two pieces in the running mean: a server
 * sends some hundred pieces a second, so that a second's pieces decide.
 */
const PACE_WEIGHT = 0.05;

/** A pace is believed for this long without new pieces, milliseconds. */
const PACE_VALIDITY_MS = 2_000;

/** Pieces that are needed for a pace. */
const PACE_PIECES = 10;

/** First and longest pause after a server was unreachable, milliseconds. */
const FIRST_PAUSE_MS = 500;
const LONGEST_PAUSE_MS = 4_000;

/**
 * What this host has seen of one run of a server. Direct evidence: it says
 * nothing about what other hosts see.
 */
export class ServerHealth {
  /** Requests of this host that are at the server. */
  inFlight = 0;
  /** Share of recent attempts that failed, 0 to 1. */
  failureShare = 0;
  /** Mean time to the head of a served answer, milliseconds. */
  responseMs: number | undefined;

  /** How fast it works, where it tells its slowness. */
  readonly speed = new ServerSpeed();

  private pace = {meanMs: 0, pieces: 0};
  private pacedAt: Instant | undefined;
  private reported: (ReportedLoad & {at: Instant}) | undefined;
  private sentSinceReport = 0;
  private endedSinceReport = 0;
  private failuresInRow = 0;
  private pausedSince: Instant | undefined;
  private silentSince: Instant | undefined;
  private unanswered = 0;

  /** A request goes to the server. */
  recordSent(at: Instant): void {
    this.inFlight += 1;
    this.sentSinceReport += 1;
    if (this.unanswered === 0) {
      this.silentSince = at;
    }
    this.unanswered += 1;
  }

  /** Bytes arrived from the server. */
  recordActivity(at: Instant): void {
    this.silentSince = at;
  }

  /** A piece of a stream arrived `gapMs` after the one before. */
  recordGap(gapMs: number, at: Instant): void {
    const stale =
      this.pacedAt === undefined ||
      elapsedMs(this.pacedAt, at) > PACE_VALIDITY_MS;
    const {meanMs, pieces} = stale ? {meanMs: gapMs, pieces: 0} : this.pace;
    this.pace = {
      meanMs: meanMs + PACE_WEIGHT * (gapMs - meanMs),
      pieces: pieces + 1,
    };
    this.pacedAt = at;
  }

  /** Mean pause between the pieces of its streams, milliseconds, if known. */
  meanGapMs(at: Instant): number | undefined {
    return this.pacedAt === undefined ||
      this.pace.pieces < PACE_PIECES ||
      elapsedMs(this.pacedAt, at) > PACE_VALIDITY_MS
      ? undefined
      : this.pace.meanMs;
  }

  /** The head of an answer arrived after `waitedMs`; `work` if it is served. */
  recordResponse(
    waitedMs: number,
    load: ReportedLoad | undefined,
    at: Instant,
    work?: ServedWork,
  ): void {
    this.recordActivity(at);
    this.unanswered = Math.max(0, this.unanswered - 1);
    this.responseMs = mix(this.responseMs ?? waitedMs, waitedMs);
    if (load !== undefined) {
      this.takeReport(load, at);
      if (load.slowness !== undefined) {
        this.speed.applyIssuerReport(load.slowness, at);
        if (work !== undefined) {
          const {promptTokens, slots} = work;
          const queuedShare = load.waiting / slots;
          this.speed.recordAnswer({waitedMs, promptTokens, queuedShare});
        }
      }
    }
  }

  /**
   * The issuer of its orders says how many requests all hosts have there, and
   * how slow they find it for good.
   */
  applyIssuerReport(requests: number, at: Instant, slowness?: number): void {
    this.speed.longTermSlowdown = slowness ?? this.speed.longTermSlowdown;
    this.takeReport({running: requests, waiting: 0}, at);
  }

  private takeReport(load: ReportedLoad, at: Instant): void {
    this.reported = {...load, at};
    this.sentSinceReport = 0;
    this.endedSinceReport = 0;
  }

  /** A request ended; `beforeHead` when no head had arrived. */
  recordEnd(verdict: AttemptOutcome, beforeHead: boolean, at: Instant): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.endedSinceReport += 1;
    if (beforeHead) {
      this.unanswered = Math.max(0, this.unanswered - 1);
    }
    VERDICTS[verdict](this, at);
  }

  /** A health check ended. */
  recordHealthCheck(healthy: boolean, at: Instant): void {
    if (healthy) {
      this.recordActivity(at);
      this.recover();
    } else {
      this.pause(at);
    }
  }

  /** Requests at the server, of all hosts, as far as known. */
  load(at: Instant): number {
    const {reported} = this;
    if (
      reported === undefined ||
      elapsedMs(reported.at, at) > LOAD_VALIDITY_MS
    ) {
      return this.inFlight;
    }
    const since = this.sentSinceReport - this.endedSinceReport;
    return Math.max(this.inFlight, reported.running + reported.waiting + since);
  }

  /** Age of the word on its requests, ms; undefined where it is too old. */
  loadAgeMs(at: Instant): number | undefined {
    const ageMs =
      this.reported === undefined ? Infinity : elapsedMs(this.reported.at, at);
    return ageMs > LOAD_VALIDITY_MS ? undefined : ageMs;
  }

  /** Whether it was unreachable lately and has not been heard since. */
  isPaused(at: Instant): boolean {
    return (
      this.pausedSince !== undefined &&
      elapsedMs(this.pausedSince, at) < this.pauseMs()
    );
  }

  /** Whether a check has to succeed before it is used again. */
  needsCheck(): boolean {
    return this.pausedSince !== undefined;
  }

  /** Milliseconds for which requests have waited without any byte from it. */
  silentMs(at: Instant): number {
    return this.unanswered === 0 || this.silentSince === undefined
      ? 0
      : elapsedMs(this.silentSince, at);
  }

  /** Counts a success. */
  recover(): void {
    this.failureShare = mix(this.failureShare, 0);
    this.failuresInRow = 0;
    this.pausedSince = undefined;
  }

  /** Counts a failure of a request that it had taken. */
  fail(): void {
    this.failureShare = mix(this.failureShare, 1);
  }

  /** Keeps requests off it for a while, longer each time in a row. */
  pause(at: Instant): void {
    this.failuresInRow += 1;
    this.pausedSince = at;
  }

  private pauseMs(): number {
    return Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** Math.min(10, this.failuresInRow - 1),
    );
  }
}

const mix = (mean: number, sample: number): number =>
  mean + SAMPLE_WEIGHT * (sample - mean);

const VERDICTS: Readonly<
  Record<AttemptOutcome, (evidence: ServerHealth, at: Instant) => void>
> = {
  served: (evidence) => {
    evidence.recover();
  },
  failed: (evidence) => {
    evidence.fail();
  },
  // A refusal shows that it lives; its load says why.
  refused: () => undefined,
  unreachable: (evidence, at) => {
    evidence.fail();
    evidence.pause(at);
  },
  misdirected: (evidence, at) => {
    evidence.pause(at);
  },
  cancelled: () => undefined,
};
