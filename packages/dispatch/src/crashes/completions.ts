import type {Instant} from '@basilworks/core';

/**
 * Keys whose completions are remembered, of those that several requests have
 * and of those of single requests; the least recent ones yield.
 */
const MAXIMUM_SHARED_KEYS = 2_048;
const MAXIMUM_OWN_KEYS = 1_024;

/**
 * When requests with a key were last answered completely, as seen by one host.
 * A completed request shows that its keys don't crash servers.
 */
export class Completions {
  private readonly shared = new Map<string, Instant>();
  private readonly own = new Map<string, Instant>();

  /** Records a completion; the last key is that of the request itself. */
  record(keys: readonly string[], at: Instant): void {
    for (const key of keys.slice(0, -1)) {
      remember(this.shared, key, at, MAXIMUM_SHARED_KEYS);
    }
    for (const key of keys.slice(-1)) {
      remember(this.own, key, at, MAXIMUM_OWN_KEYS);
    }
  }

  /** When a request with the key was last completed, if known. */
  latest(key: string): Instant | undefined {
    return this.shared.get(key) ?? this.own.get(key);
  }
}

const remember = (
  completedAt: Map<string, Instant>,
  key: string,
  at: Instant,
  maximumKeys: number,
): void => {
  // Deleted first, as the map lists the least recent keys first.
  completedAt.delete(key);
  completedAt.set(key, at);
  for (const oldest of completedAt.keys()) {
    if (completedAt.size <= maximumKeys) {
      break;
    }
    completedAt.delete(oldest);
  }
};
