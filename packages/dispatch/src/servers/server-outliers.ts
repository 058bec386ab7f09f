import type {Instant} from '@basilworks/core';

import type {Outlier} from './outlier-detector.js';

/** Share of requests still sent to an outlier, to probe its recovery. */
const PROBE_SHARE = 0.02;

/** Longest time for which another host's report is in use, milliseconds. */
const MAX_EJECTION_MS = 16_000;

/** The outliers that requests of this host avoid, as reported by peers. */
export class ServerOutliers {
  private readonly endsAtMs = new Map<string, number>();

  /** Applies a report; returns whether the server was not an outlier before. */
  apply({server, leftMs}: Outlier, {monotonicMs}: Instant): boolean {
    const known = this.endsAtMs.get(server) ?? -Infinity;
    const endsAtMs = monotonicMs + Math.min(MAX_EJECTION_MS, leftMs);
    if (!(endsAtMs > known)) {
      return false;
    }
    this.endsAtMs.set(server, endsAtMs);
    return known <= monotonicMs;
  }

  /** Whether a request should avoid a server; a few requests still probe it. */
  avoids(server: string, at: Instant, random: () => number): boolean {
    return this.leftMs(server, at) > 0 && random() >= PROBE_SHARE;
  }

  /** Returns all outliers and for how much longer each is avoided. */
  list(at: Instant): readonly Outlier[] {
    return [...this.endsAtMs.keys()].flatMap((server) => {
      const leftMs = this.leftMs(server, at);
      if (leftMs <= 0) {
        this.endsAtMs.delete(server);
      }
      return leftMs > 0 ? [{server, leftMs}] : [];
    });
  }

  private leftMs(server: string, {monotonicMs}: Instant): number {
    return (this.endsAtMs.get(server) ?? -Infinity) - monotonicMs;
  }
}
