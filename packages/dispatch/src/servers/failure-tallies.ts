import type {Instant} from '@basilworks/core';

/** Recent attempts at one server instance and how many of them failed. */
export interface ServerTally {
  /** Key of the server. */
  readonly server: string;
  readonly attempts: number;
  readonly failures: number;
}

/**
 * Half-life of the counts, milliseconds: short enough to detect a fault within
 * a second.
 */
const HALF_LIFE_MS = 1_500;

/** Counts with fewer attempts are insignificant and are removed. */
const MIN_ATTEMPTS = 0.25;

/** Maximum number of servers in one message; the most used ones come first. */
const MAXIMUM_TALLIES = 64;

interface Counts {
  attempts: number;
  failures: number;
  at: Instant;
}

/**
 * Exponentially decaying counts of this host's own attempts and failures at
 * each server. A single host sends too few requests to a server to detect a
 * fault by itself, so it reports the counts.
 */
export class FailureTallies {
  private readonly counts = new Map<string, Counts>();
  private readonly services = new Set<string>();

  /** Starts counting attempts at the servers of a service. */
  watch(service: string): void {
    this.services.add(service);
  }

  /** Counts a finished attempt; ignored for services that are not watched. */
  record(service: string, server: string, failed: boolean, at: Instant): void {
    if (!this.services.has(service)) {
      return;
    }
    const known = this.counts.get(server);
    const kept = known === undefined ? 0 : keptShare(known, at);
    this.counts.set(server, {
      attempts: (known?.attempts ?? 0) * kept + 1,
      failures: (known?.failures ?? 0) * kept + (failed ? 1 : 0),
      at,
    });
  }

  /** Returns the counts decayed to `at`, the most used servers first. */
  snapshot(at: Instant): readonly ServerTally[] {
    const tallies: ServerTally[] = [];
    for (const [server, counts] of this.counts) {
      const kept = keptShare(counts, at);
      const attempts = counts.attempts * kept;
      if (attempts < MIN_ATTEMPTS) {
        this.counts.delete(server);
      } else {
        tallies.push({server, attempts, failures: counts.failures * kept});
      }
    }
    return tallies
      .sort((first, second) => second.attempts - first.attempts)
      .slice(0, MAXIMUM_TALLIES);
  }
}

/**
 * Share of the counts that remains. Monotonic time, so that a step of the wall
 * clock has no effect.
 */
const keptShare = ({at: since}: Counts, at: Instant): number =>
  0.5 ** (Math.max(0, at.monotonicMs - since.monotonicMs) / HALF_LIFE_MS);
