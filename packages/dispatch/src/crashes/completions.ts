import type {Instant} from '@basilworks/core';

/** Keys whose completions are remembered; the least recent ones yield. */
const MAXIMUM_KEYS = 2_048;

/**
 * When requests with a key were last answered completely, as seen by one host.
 * A completed request shows that its keys don't crash servers.
 */
export class Completions {
  private readonly completedAt = new Map<string, Instant>();

  record(keys: readonly string[], at: Instant): void {
    for (const key of keys) {
      // Deleted first, as the map lists the least recent keys first.
      this.completedAt.delete(key);
      this.completedAt.set(key, at);
    }
    for (const key of this.completedAt.keys()) {
      if (this.completedAt.size <= MAXIMUM_KEYS) {
        break;
      }
      this.completedAt.delete(key);
    }
  }

  /** When a request with the key was last completed, if known. */
  latest(key: string): Instant | undefined {
    return this.completedAt.get(key);
  }
}
