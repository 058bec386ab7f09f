import {elapsedMs, type Instant} from '@basilworks/core';

/**
 * Time for which a stream may go on or be taken up after its first event,
 * milliseconds: above the longest time-outs of routes in use.
 */
export const STREAM_RETENTION_MS = 60_000;

/**
 * Most streams that are remembered, of the recent ones and of those that are
 * kept beyond their time; the oldest are forgotten first.
 */
const MAXIMUM_STREAMS = 50_000;

/** The request that began a stream, and where. */
export interface StreamOrigin {
  readonly requestId: string;
  /** Version of the software of its server. */
  readonly softwareVersion: string;
}

/** What a host knows of a stream that another one is asked to take up. */
export interface StreamAnswer {
  /** Version of the software that began it; undefined if not known. */
  readonly softwareVersion?: string | undefined;
  /**
   * Whether the host remembers all streams of the service that may go on and
   * that it acknowledged.
   */
  readonly witness: boolean;
}

interface RememberedOrigin {
  readonly softwareVersion: string;
  readonly at: Instant;
}

/**
 * The software versions at which streams began: those of recent streams, and
 * for longer where a host that has forgotten one would be wrong about it.
 */
export class StreamOrigins {
  private readonly recent = new Map<string, RememberedOrigin>();
  /** Streams past their time whose version must be kept. */
  private readonly kept = new Map<string, RememberedOrigin>();
  /** Whether one of them was forgotten for want of room. */
  private hasDropped = false;

  constructor(
    /** Whether streams of a version are kept beyond their time. */
    private readonly mustKeep: (softwareVersion: string) => boolean = () =>
      false,
  ) {}

  /** Number of streams that are remembered. */
  get size(): number {
    return this.recent.size + this.kept.size;
  }

  record({requestId, softwareVersion}: StreamOrigin, at: Instant): void {
    this.remove(requestId);
    this.recent.set(requestId, {softwareVersion, at});
    this.expire(at);
  }

  remove(requestId: string): void {
    this.recent.delete(requestId);
    this.kept.delete(requestId);
  }

  get(requestId: string): string | undefined {
    const origin = this.recent.get(requestId) ?? this.kept.get(requestId);
    return origin?.softwareVersion;
  }

  /** Whether no stream that must be kept has been forgotten. */
  get isComplete(): boolean {
    return !this.hasDropped;
  }

  /** The recent streams, oldest first. */
  all(): readonly StreamOrigin[] {
    return [...this.recent].map(([requestId, {softwareVersion}]) => ({
      requestId,
      softwareVersion,
    }));
  }

  /** Forgets the streams beyond their time, as no host can be wrong about them. */
  forgetKept(): void {
    this.kept.clear();
    this.hasDropped = false;
  }

  /** Forgets streams that have ended; insertion order is that of time. */
  private expire(at: Instant): void {
    for (const [requestId, origin] of this.recent) {
      const expired = elapsedMs(origin.at, at) > STREAM_RETENTION_MS;
      if (!expired && this.recent.size <= MAXIMUM_STREAMS) {
        return;
      }
      this.recent.delete(requestId);
      if (this.mustKeep(origin.softwareVersion)) {
        this.keep(requestId, origin);
      }
    }
  }

  private keep(requestId: string, origin: RememberedOrigin): void {
    this.kept.set(requestId, origin);
    const [oldest] = this.kept;
    if (this.kept.size > MAXIMUM_STREAMS && oldest !== undefined) {
      this.kept.delete(oldest[0]);
      this.hasDropped = true;
    }
  }
}
