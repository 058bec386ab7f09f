import {elapsedMs, type Instant} from '@basilworks/core';

import {instantBefore} from '../fleet/index.js';

/** A request that was in progress at a server when that crashed. */
export interface LostRequest {
  /**
   * What it has in common with other requests, from what most of them share to
   * what few do. One of these keys may be the cause of the crash.
   */
  readonly keys: readonly string[];
  /** Time from its send to the crash, milliseconds. */
  readonly runMs: number;
}

/** The requests of one host that were lost in a crash. */
export interface CrashReport {
  /** Key of the server instance. */
  readonly server: string;
  /** Time since the crash, milliseconds. */
  readonly ageMs: number;
  readonly requests: readonly LostRequest[];
}

/** A key that may be the cause of crashes. */
export interface Suspect {
  readonly key: string;
  /** Crashes of requests that were sent after the crash before. */
  readonly crashes: number;
  /** Share of all unexplained crashes at which it was in progress. */
  readonly presence: number;
}

/**
 * What makes a key the cause of crashes: how many in turn were crashes of
 * requests sent after the one before, and at which share of all crashes since
 * its first it was present. A key that is present at fewer needs more of them,
 * as the others have another cause, which may be the cause of all.
 */
const CRITERIA = [
  {crashes: 3, presence: 0.5},
  {crashes: 6, presence: 0.25},
] as const;

/**
 * Least share of all recent crashes that a key must have been present at, and
 * how long a crash is recent, milliseconds. The more crashes there are, the
 * more sound keys are present at some of them by chance.
 */
const LEAST_SHARE = 0.3;
const RECENT_MS = 20_000;

/**
 * How long after its latest completion a key is above suspicion, milliseconds.
 * When many servers crash, requests with many sound keys are lost repeatedly,
 * but nearly all of these keys were completed before.
 */
const TRUST_MS = 60_000;

/**
 * Time within which crashes count as one event, milliseconds: servers that fail
 * together, as with their rack, have a common cause outside of their requests.
 */
const EVENT_MS = 100;

/** How long a crash counts, milliseconds. */
const RETENTION_MS = 600_000;

/** Crashes that are kept at most, the latest ones. */
const MAXIMUM_CRASHES = 128;

interface Crash {
  at: Instant;
  readonly requestsByHost: Map<string, readonly LostRequest[]>;
}

/** Crashes at nearly the same time. */
interface CrashEvent {
  readonly at: Instant;
  readonly requests: (LostRequest & {readonly sentAt: Instant})[];
}

/** What the crash events show about one key. */
interface KeyRecord {
  crashes: number;
  lastCrashAt: Instant;
  /** First and last event at which it was present, and their number. */
  readonly firstEvent: number;
  lastEvent: number;
  events: number;
  /** Lost requests that had it, and its largest index among their keys. */
  requests: number;
  depth: number;
}

/**
 * Relates crashes of servers to the requests that were in progress there. A key
 * is to blame if servers keep crashing under requests with it that were sent
 * after the crash before, and no request with it has been completed lately.
 */
export class CrashEvidence {
  private readonly crashes = new Map<string, Crash>();
  private readonly completedAt = new Map<string, Instant>();

  /** Applies a report, which replaces an earlier one of the same crash. */
  applyReport(host: string, report: CrashReport, at: Instant): void {
    const crashedAt = instantBefore(at, report.ageMs);
    const known = this.crashes.get(report.server);
    const crash = known ?? {at: crashedAt, requestsByHost: new Map()};
    if (elapsedMs(crashedAt, crash.at) > 0) {
      crash.at = crashedAt;
    }
    crash.requestsByHost.set(host, report.requests);
    this.crashes.set(report.server, crash);
    this.dropOld(at);
  }

  /** Records when a request with the key was completed. */
  recordCompletion(key: string, at: Instant): void {
    const known = this.completedAt.get(key);
    if (known === undefined || elapsedMs(known, at) > 0) {
      this.completedAt.set(key, at);
    }
  }

  /** Discards the crashes at which a key was present, as it is released. */
  forget(key: string): void {
    for (const [server, crash] of this.crashes) {
      if (hasKey(crash, (candidate) => candidate === key)) {
        this.crashes.delete(server);
      }
    }
  }

  /**
   * Returns the keys that have passed a threshold, the one that explains most
   * crashes first. Of keys that explain equally many it is the one that fewest
   * requests have. Crashes that a quarantined key explains don't count.
   */
  suspects(
    isQuarantined: (key: string) => boolean,
    at: Instant,
  ): readonly Suspect[] {
    const events = this.events(isQuarantined);
    const recent = events.filter(
      ({at: crashedAt}) => elapsedMs(crashedAt, at) < RECENT_MS,
    );
    const leastEvents = recent.length * LEAST_SHARE;
    return [...this.recordKeys(events, at)]
      .sort(([, first], [, second]) => compareRecords(first, second))
      .flatMap(([key, {crashes, firstEvent, events: present}]) => {
        const presence = present / (events.length - firstEvent);
        const isCause = CRITERIA.some(
          (criterion) =>
            crashes >= criterion.crashes && presence >= criterion.presence,
        );
        return isCause && present >= leastEvents
          ? [{key, crashes, presence}]
          : [];
      });
  }

  private events(
    isQuarantined: (key: string) => boolean,
  ): readonly CrashEvent[] {
    const unexplained = [...this.crashes.values()]
      .filter((crash) => !hasKey(crash, isQuarantined))
      .sort((first, second) => elapsedMs(second.at, first.at));
    const events: CrashEvent[] = [];
    for (const {at, requestsByHost} of unexplained) {
      let event = events.at(-1);
      if (event === undefined || elapsedMs(event.at, at) > EVENT_MS) {
        event = {at, requests: []};
        events.push(event);
      }
      for (const request of [...requestsByHost.values()].flat()) {
        const sentAt = instantBefore(at, request.runMs);
        event.requests.push({...request, sentAt});
      }
    }
    return events;
  }

  private recordKeys(
    events: readonly CrashEvent[],
    at: Instant,
  ): ReadonlyMap<string, KeyRecord> {
    const records = new Map<string, KeyRecord>();
    const isTrusted = (key: string) => {
      const completedAt = this.completedAt.get(key);
      return completedAt !== undefined && elapsedMs(completedAt, at) < TRUST_MS;
    };
    for (const [index, {at: crashedAt, requests}] of events.entries()) {
      for (const {keys, sentAt} of requests) {
        for (const [depth, key] of keys.entries()) {
          if (isTrusted(key)) {
            continue;
          }
          const known = records.get(key);
          if (known === undefined) {
            records.set(key, newRecord(index, crashedAt, depth));
            continue;
          }
          known.requests += 1;
          known.depth = Math.max(known.depth, depth);
          if (known.lastEvent !== index) {
            known.lastEvent = index;
            known.events += 1;
          }
          if (elapsedMs(known.lastCrashAt, sentAt) > 0) {
            known.crashes += 1;
            known.lastCrashAt = crashedAt;
          }
        }
      }
    }
    return records;
  }

  private dropOld(at: Instant): void {
    const byAge = [...this.crashes].sort(([, first], [, second]) =>
      elapsedMs(second.at, first.at),
    );
    const surplus = byAge.length - MAXIMUM_CRASHES;
    for (const [index, [server, crash]] of byAge.entries()) {
      if (index < surplus || elapsedMs(crash.at, at) > RETENTION_MS) {
        this.crashes.delete(server);
      }
    }
    for (const [key, completedAt] of this.completedAt) {
      if (elapsedMs(completedAt, at) > TRUST_MS) {
        this.completedAt.delete(key);
      }
    }
  }
}

const newRecord = (event: number, at: Instant, depth: number): KeyRecord => ({
  crashes: 1,
  lastCrashAt: at,
  firstEvent: event,
  lastEvent: event,
  events: 1,
  requests: 1,
  depth,
});

const compareRecords = (first: KeyRecord, second: KeyRecord): number =>
  second.events - first.events ||
  first.requests - second.requests ||
  second.depth - first.depth;

const hasKey = (
  {requestsByHost}: Crash,
  matches: (key: string) => boolean,
): boolean =>
  [...requestsByHost.values()].some((requests) =>
    requests.some(({keys}) => keys.some(matches)),
  );
