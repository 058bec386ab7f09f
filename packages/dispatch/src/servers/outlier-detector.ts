import type {Instant} from '@basilworks/core';

import type {ServerTally} from './failure-tallies.js';

/** A server to keep requests off, and for how much longer. */
export interface Outlier {
  /** Key of the server. */
  readonly server: string;
  readonly leftMs: number;
}

/** A server that may be judged. */
export interface MonitoredServer {
  readonly key: string;
  readonly service: string;
}

/** Tallies of a host that are older are not counted, milliseconds. */
const VALIDITY_MS = 3_000;

/** Failures below which a server is not judged: one or two say nothing. */
const LEAST_FAILURES = 2.5;

/** Share of failed attempts that callers are owed to be kept from. */
const LEAST_SHARE = 0.2;

/** Standard deviations above the others that are no accident. */
const DEVIATIONS = 3;

/** A fault of more servers than this share is the service's, not theirs. */
const LARGEST_SUSPECT_SHARE = 1 / 3;

/** First and longest time for which requests are kept off, milliseconds. */
const FIRST_MS = 2_000;
const LONGEST_MS = 16_000;

/** A server that fails again within this time is kept off for twice as long. */
const RELAPSE_MS = 10_000;

interface Sentence {
  endsAtMs: number;
  forMs: number;
}

/**
 * Finds the servers that fail requests while others of their service do not,
 * by what all hosts of a group saw. It answers the load of a server whose health
 * checks are good and which fails a part of what it takes: hundreds of hosts
 * that each send it a request now and then.
 */
export class OutlierDetector {
  private readonly told = new Map<
    string,
    {readonly tallies: readonly ServerTally[]; readonly at: Instant}
  >();
  private readonly sentences = new Map<string, Sentence>();

  /** A host tells its counts; they take the place of its earlier ones. */
  applyTallies(
    host: string,
    tallies: readonly ServerTally[],
    at: Instant,
  ): void {
    this.told.set(host, {tallies, at});
  }

  /** Returns the servers that requests should be kept off now. */
  detect(servers: readonly MonitoredServer[], at: Instant): readonly Outlier[] {
    const sums = this.sumUp(at);
    const byService = new Map<string, MonitoredServer[]>();
    for (const server of servers) {
      const list = byService.get(server.service) ?? [];
      list.push(server);
      byService.set(server.service, list);
    }
    for (const members of byService.values()) {
      this.judgeService(members, sums, at);
    }
    const known = new Set(servers.map(({key}) => key));
    return [...this.sentences].flatMap(([server, {endsAtMs}]) => {
      const leftMs = endsAtMs - at.monotonicMs;
      if (!known.has(server) || leftMs < -RELAPSE_MS) {
        this.sentences.delete(server);
      }
      return leftMs > 0 && known.has(server) ? [{server, leftMs}] : [];
    });
  }

  private judgeService(
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
      .slice(0, Math.floor(members.length * LARGEST_SUSPECT_SHARE));
    for (const {server} of failing) {
      this.suspect(server, at);
    }
  }

  private suspect(server: string, {monotonicMs}: Instant): void {
    const known = this.sentences.get(server);
    const relapsed = known !== undefined && known.endsAtMs < monotonicMs;
    const forMs =
      known === undefined
        ? FIRST_MS
        : Math.min(LONGEST_MS, relapsed ? known.forMs * 2 : known.forMs);
    this.sentences.set(server, {forMs, endsAtMs: monotonicMs + forMs});
  }

  private sumUp(at: Instant): ReadonlyMap<string, ServerTally> {
    const sums = new Map<string, ServerTally>();
    for (const [host, {tallies, at: since}] of this.told) {
      if (at.monotonicMs - since.monotonicMs > VALIDITY_MS) {
        this.told.delete(host);
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

/** Whether a server fails more than the others of its service by no accident. */
const isFailing = (
  {attempts, failures}: ServerTally,
  all: Omit<ServerTally, 'server'>,
): boolean => {
  const others = Math.max(1, all.attempts - attempts);
  const usual = Math.min(1, Math.max(0, all.failures - failures) / others);
  const deviation = Math.sqrt(attempts * usual * (1 - usual));
  return (
    failures >= LEAST_FAILURES &&
    failures >= LEAST_SHARE * attempts &&
    failures >= usual * attempts + DEVIATIONS * deviation
  );
};

const shareOf = ({attempts, failures}: ServerTally): number =>
  failures / Math.max(1, attempts);

const total = (
  tallies: readonly ServerTally[],
  of: (tally: ServerTally) => number,
): number => tallies.reduce((sum, tally) => sum + of(tally), 0);
