import {elapsedMs, type Instant} from '@basilworks/core';

/**
 * How long a key stays in quarantine, milliseconds. Requests with it that come
 * later are tried again: the engines may have been updated.
 */
export const QUARANTINE_MS = 600_000;

/**
 * How long an announced key counts without a record in the store, milliseconds:
 * longer than the store is usually unreachable.
 */
export const ANNOUNCEMENT_MS = 30_000;

/** Keys whose requests are not sent to servers, since they crash them. */
export class Quarantine {
  private readonly announcedAt = new Map<string, Instant>();
  private recordedAt = new Map<string, Instant>();
  private readonly listeners = new Set<() => void>();

  /** Whether no key is in quarantine. */
  get isEmpty(): boolean {
    return this.announcedAt.size === 0 && this.recordedAt.size === 0;
  }

  /** Applies an announcement; true if the key was not in quarantine. */
  announce(key: string, at: Instant): boolean {
    const isNew = !this.has(key, at);
    this.announcedAt.set(key, at);
    if (isNew) {
      this.notify();
    }
    return isNew;
  }

  /**
   * Applies the keys that the store has on record. Returns those that have left
   * quarantine since the last call.
   */
  applyRecorded(keys: readonly string[], at: Instant): readonly string[] {
    const known = this.recordedAt;
    const isNew = keys.some((key) => !this.has(key, at));
    this.recordedAt = new Map(keys.map((key) => [key, known.get(key) ?? at]));
    const released = [...known.keys()].filter(
      (key) => !this.recordedAt.has(key),
    );
    for (const key of released) {
      this.announcedAt.delete(key);
    }
    if (isNew) {
      this.notify();
    }
    return released;
  }

  has(key: string, at: Instant): boolean {
    if (this.recordedAt.has(key)) {
      return true;
    }
    const announcedAt = this.announcedAt.get(key);
    if (announcedAt === undefined) {
      return false;
    }
    if (elapsedMs(announcedAt, at) > ANNOUNCEMENT_MS) {
      this.announcedAt.delete(key);
      return false;
    }
    return true;
  }

  /** Returns the recorded keys whose time in quarantine is over. */
  expired(at: Instant): readonly string[] {
    return [...this.recordedAt].flatMap(([key, since]) =>
      elapsedMs(since, at) > QUARANTINE_MS ? [key] : [],
    );
  }

  /** Calls `listener` for each new key until the returned function is called. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  private notify(): void {
    for (const listener of [...this.listeners]) {
      listener();
    }
  }
}
