import type {Instant} from '@basilworks/core';

import type {Outlier} from './outlier-detector.js';

/** Share of requests that go to a suspect all the same, to see how it does. */
const PROBE_SHARE = 0.02;

/** Longest time that a word of another host counts, milliseconds. */
const LONGEST_MS = 16_000;

/** The servers that this host keeps requests off, by the word of its readers. */
export class ServerOutliers {
  private readonly endsAtMs = new Map<string, number>();

  /** Takes over a word; returns whether the server was no suspect before. */
  apply({server, leftMs}: Outlier, {monotonicMs}: Instant): boolean {
    const known = this.endsAtMs.get(server) ?? -Infinity;
    const endsAtMs = monotonicMs + Math.min(LONGEST_MS, leftMs);
    if (!(endsAtMs > known)) {
      return false;
    }
    this.endsAtMs.set(server, endsAtMs);
    return known <= monotonicMs;
  }

  /** Whether a server is kept off; a few requests go there all the same. */
  avoids(server: string, at: Instant, random: () => number): boolean {
    return this.leftMs(server, at) > 0 && random() >= PROBE_SHARE;
  }

  /** All suspects and for how much longer. */
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
