import type {Instant} from '@basilworks/core';

/** Attempts at one run of a server and how many failed, lately. */
export interface ServerTally {
  /** Key of the server. */
  readonly server: string;
  readonly attempts: number;
  readonly failures: number;
}

/** Half-life of the counts, milliseconds: a fault is seen within a second. */
const HALF_LIFE_MS = 1_500;

/** Below this, attempts tell nothing and are forgotten. */
const LEAST_ATTEMPTS = 0.25;

/** Servers that one message tells of; the most used first. */
const MAXIMUM_TALLIES = 64;

interface Counts {
  attempts: number;
  failures: number;
  at: Instant;
}

/**
 * What became of this host's own requests at each server, in decaying counts.
 * One of many hosts sends too little to any server to tell a fault by itself,
 * so that it passes the counts on.
 */
export class FailureTallies {
  private readonly counts = new Map<string, Counts>();
  private readonly services = new Set<string>();

  /** Attempts at the servers of a service are counted from now on. */
  watch(service: string): void {
    this.services.add(service);
  }

  /** Counts an attempt that ended. */
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

  /** The counts as of now. */
  snapshot(at: Instant): readonly ServerTally[] {
    const tallies: ServerTally[] = [];
    for (const [server, counts] of this.counts) {
      const kept = keptShare(counts, at);
      const attempts = counts.attempts * kept;
      if (attempts < LEAST_ATTEMPTS) {
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

/** Share of the counts that is left; a step of the time of day is no time. */
const keptShare = ({at: since}: Counts, at: Instant): number =>
  0.5 ** (Math.max(0, at.monotonicMs - since.monotonicMs) / HALF_LIFE_MS);
