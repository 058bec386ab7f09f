import {elapsedMs, type Instant} from '@basilworks/core';
import type {PromptReports} from '@basilworks/dispatch';

/** Log fields of the timing of a stream. */
export interface StreamTimingLogFields {
  /** Longest gap between two events, milliseconds. */
  readonly longestGapMs?: number;
  /** Time from the send to the end of that gap, milliseconds. */
  readonly longestGapAtMs?: number;
  readonly gapTargetMs?: number;
}

/** The send whose stream is observed. */
export interface ObservedSend {
  /** Key of the server. */
  readonly server: string;
  /** Id under which its prompt was announced to the issuer, if it was. */
  readonly announcedAs: string | undefined;
  /** Longest event gap with which the stream is still on time, milliseconds. */
  readonly gapTargetMs: number | undefined;
}

/**
 * Observes when the events of a stream arrive, and reports what concerns the
 * prompts of other streams on its server.
 */
export class StreamTiming {
  private lastChunkAt: Instant | undefined;
  private started = false;
  private longest = {gapMs: 0, atMs: 0};

  constructor(
    private readonly reports: PromptReports,
    private readonly send: ObservedSend,
    private readonly sentAt: Instant,
  ) {}

  get logFields(): StreamTimingLogFields {
    const {gapTargetMs} = this.send;
    return gapTargetMs === undefined || this.longest.gapMs === 0
      ? {}
      : {
          longestGapMs: Math.round(this.longest.gapMs),
          longestGapAtMs: Math.round(this.longest.atMs),
          gapTargetMs,
        };
  }

  /** Longest gap as a share of its target; undefined without a target. */
  get longestGapShare(): number | undefined {
    const {gapTargetMs} = this.send;
    return gapTargetMs === undefined
      ? undefined
      : this.longest.gapMs / gapTargetMs;
  }

  /** Records a chunk; returns the gap before it, if there was one. */
  recordChunk(at: Instant): number | undefined {
    const {server, gapTargetMs} = this.send;
    if (!this.started) {
      this.endPrefill(elapsedMs(this.sentAt, at));
    }
    const {lastChunkAt} = this;
    this.lastChunkAt = at;
    if (lastChunkAt === undefined) {
      return undefined;
    }
    const gapMs = elapsedMs(lastChunkAt, at);
    if (gapTargetMs !== undefined) {
      this.reports.recordGap({server, gapMs, targetMs: gapTargetMs});
      if (gapMs > this.longest.gapMs) {
        this.longest = {gapMs, atMs: elapsedMs(this.sentAt, at)};
      }
    }
    return gapMs;
  }

  /** The caller delays the next chunk, so its gap says nothing of the server. */
  pause(): void {
    this.lastChunkAt = undefined;
  }

  /** Records the end of the send. */
  end(): void {
    if (!this.started) {
      this.endPrefill(undefined);
    }
  }

  private endPrefill(prefillMs: number | undefined): void {
    this.started = true;
    const {server, announcedAs: requestId} = this.send;
    if (requestId !== undefined) {
      this.reports.recordPrefilled({server, requestId, prefillMs});
    }
  }
}
