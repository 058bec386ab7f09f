import type {Instant} from '@basilworks/core';

import type {ServerTally} from './failure-tallies.js';

/** A server that requests should avoid, and for how much longer. */
export interface Outlier {
  /** Key of the server. */
  readonly server: string;
  readonly leftMs: number;
}

/** A server that is subject to outlier detection. */
export interface MonitoredServer {
  readonly key: string;
  readonly service: string;
}

/** Age above which a host's tallies are ignored, milliseconds. */
const VALIDITY_MS = 3_000;

/** Minimum number of failures of an outlier: one or two are not significant. */
const MIN_FAILURES = 2.5;

/** Minimum share of failed attempts of an outlier. */
const MIN_FAILURE_SHARE = 0.2;

/**
 * Standard deviations above the other servers' failure rate that count as
 * significant.
 */
const MIN_DEVIATIONS = 3;

/**
 * Largest share of a service's servers that may be outliers: a fault of more is
 * a fault of the service.
 */
const MAX_OUTLIER_SHARE = 1 / 3;

/** Shortest and longest duration of an ejection, milliseconds. */
const INITIAL_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 16_000;

/**
 * A server that fails again within this time after an ejection is ejected for
 * twice as long, milliseconds.
 */
const RELAPSE_MS = 10_000;

interface Ejection {
  endsAtMs: number;
  forMs: number;
}

/**
 * Detects the servers that fail requests while others of their service do not,
 * from the tallies of all hosts of a group. Designed for servers that pass
 * their health checks and fail a part of their requests, while each of hundreds
 * of hosts sends them a request only now and then.
 */
export class OutlierDetector {
  private readonly reports = new Map<
    string,
    {readonly tallies: readonly ServerTally[]; readonly at: Instant}
  >();
  private readonly ejections = new Map<string, Ejection>();

  /** Records a host's tallies, which replace its earlier ones. */
  applyTallies(
    host: string,
    tallies: readonly ServerTally[],
    at: Instant,
  ): void {
    this.reports.set(host, {tallies, at});
  }

  /** Returns the servers that requests should avoid now. */
  detect(servers: readonly MonitoredServer[], at: Instant): readonly Outlier[] {
    const sums = this.sumUp(at);
    const byService = new Map<string, MonitoredServer[]>();
    for (const server of servers) {
      const list = byService.get(server.service) ?? [];
      list.push(server);
      byService.set(server.service, list);
    }
    for (const members of byService.values()) {
      this.detectInService(members, sums, at);
    }
    const known = new Set(servers.map(({key}) => key));
    return [...this.ejections].flatMap(([server, {endsAtMs}]) => {
      const leftMs = endsAtMs - at.monotonicMs;
      if (!known.has(server) || leftMs < -RELAPSE_MS) {
        this.ejections.delete(server);
      }
      return leftMs > 0 && known.has(server) ? [{server, leftMs}] : [];
    });
  }

  private detectInService(
    members: readonly MonitoredServer[],
    sums: ReadonlyMap<string, ServerTally>,
    at: Instant,
  ): void {
    const tallies = members.flatMap(({key}) => sums.get(key) ?? []);
    const attempts = total(tallies, (tally) => tally.attempts);
    const failures = total(tallies, (tally) => tally.failures);
    const failing = tallies
      .filter((tally) => isFailing(tally, {attempts, failures}))
      .sort((first, second) => shareOf(second) - shareOf(first))
      .slice(0, Math.floor(members.length * MAX_OUTLIER_SHARE));
    for (const {server} of failing) {
      this.eject(server, at);
    }
  }

  private eject(server: string, {monotonicMs}: Instant): void {
    const known = this.ejections.get(server);
    const relapsed = known !== undefined && known.endsAtMs < monotonicMs;
    const forMs =
      known === undefined
        ? INITIAL_EJECTION_MS
        : Math.min(MAX_EJECTION_MS, relapsed ? known.forMs * 2 : known.forMs);
    this.ejections.set(server, {forMs, endsAtMs: monotonicMs + forMs});
  }

  private sumUp(at: Instant): ReadonlyMap<string, ServerTally> {
    const sums = new Map<string, ServerTally>();
    for (const [host, {tallies, at: since}] of this.reports) {
      if (at.monotonicMs - since.monotonicMs > VALIDITY_MS) {
        this.reports.delete(host);
        continue;
      }
      for (const {server, attempts, failures} of tallies) {
        const sum = sums.get(server);
        sums.set(server, {
          server,
          attempts: (sum?.attempts ?? 0) + attempts,
          failures: (sum?.failures ?? 0) + failures,
        });
      }
    }
    return sums;
  }
}

/** Whether a server fails significantly more than the others of its service. */
const isFailing = (
  {attempts, failures}: ServerTally,
  all: Omit<ServerTally, 'server'>,
): boolean => {
  const others = Math.max(1, all.attempts - attempts);
  const usual = Math.min(1, Math.max(0, all.failures - failures) / others);
  const deviation = Math.sqrt(attempts * usual * (1 - usual));
  return (
    failures >= MIN_FAILURES &&
    failures >= MIN_FAILURE_SHARE * attempts &&
    failures >= usual * attempts + MIN_DEVIATIONS * deviation
  );
};

const shareOf = ({attempts, failures}: ServerTally): number =>
  failures / Math.max(1, attempts);

const total = (
  tallies: readonly ServerTally[],
  of: (tally: ServerTally) => number,
): number => tallies.reduce((sum, tally) => sum + of(tally), 0);
