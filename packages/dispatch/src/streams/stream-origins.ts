import {elapsedMs, type Instant} from '@basilworks/core';

/**
 * Time for which a stream may go on or be taken up after its first event,
 * milliseconds: above the longest time-outs of routes in use.
 */
export const STREAM_RETENTION_MS = 60_000;

/** Most streams that are remembered; the oldest are forgotten first. */
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

/** The software versions at which recent streams began. */
export class StreamOrigins {
  /** When a stream was last forgotten before its time. */
  private droppedAt: Instant | undefined;
  private readonly origins = new Map<
    string,
    {readonly softwareVersion: string; readonly at: Instant}
  >();

  /** Number of streams that are remembered. */
  get size(): number {
    return this.origins.size;
  }

  record({requestId, softwareVersion}: StreamOrigin, at: Instant): void {
    this.origins.delete(requestId);
    this.origins.set(requestId, {softwareVersion, at});
    this.expire(at);
  }

  remove(requestId: string): void {
    this.origins.delete(requestId);
  }

  get(requestId: string): string | undefined {
    return this.origins.get(requestId)?.softwareVersion;
  }

  /** Whether no stream that may go on has been forgotten. */
  isComplete(at: Instant): boolean {
    return (
      this.droppedAt === undefined ||
      elapsedMs(this.droppedAt, at) >= STREAM_RETENTION_MS
    );
  }

  /** All streams that are remembered, oldest first. */
  all(): readonly StreamOrigin[] {
    return [...this.origins].map(([requestId, {softwareVersion}]) => ({
      requestId,
      softwareVersion,
    }));
  }

  /** Forgets streams that have ended; insertion order is that of time. */
  private expire(at: Instant): void {
    for (const [requestId, origin] of this.origins) {
      const expired = elapsedMs(origin.at, at) > STREAM_RETENTION_MS;
      if (!expired && this.origins.size <= MAXIMUM_STREAMS) {
        return;
      }
      this.origins.delete(requestId);
      this.droppedAt = expired ? this.droppedAt : at;
    }
  }
}
