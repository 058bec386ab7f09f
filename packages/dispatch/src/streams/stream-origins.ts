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

/** The software versions at which recent streams began. */
export class StreamOrigins {
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
    }
  }
}
