import {elapsedMs, type Instant, rankByRendezvous} from '@basilworks/core';
import {
  hostRecordName,
  SoftwareVersions,
  type StreamOrigin,
  StreamOrigins,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {PeerConnection} from '../peers/index.js';
import {
  createStrictGate,
  NO_VIEW_SOURCES,
  type ViewGate,
  type ViewSources,
} from '../store/index.js';
import {StreamJournal} from './stream-journal.js';
import {VersionRecords} from './version-records.js';

/** Hosts that remember where a stream began, besides the one that began it. */
const KEEPERS = 3;

/** Delay of reports to keepers, which batches them, milliseconds. */
const REPORT_DELAY_MS = 50;

/** Streams in one report at most. */
const MAXIMUM_REPORTED = 500;

/** Interval of checks whether this host stood still, milliseconds. */
const STANDSTILL_CHECK_MS = 500;

/** Time without a check after which it did, milliseconds. */
const STANDSTILL_MS = 1_500;

/**
 * Time of an outage of the store after which all hosts that reach each other
 * have the newest view that any of them read, milliseconds: several exchanges.
 */
const SHARED_VIEWS_MS = 2_000;

/** Prefix of the names of the records of hosts. */
const HOST_RECORDS = hostRecordName('');

/** What the version at which a stream may go on was found by, for the log. */
export type StreamVersionBasis =
  'remembered' | 'one version' | 'keeper' | 'views not confirmed' | 'no keeper';

/** The version at which a stream may go on. */
export type StreamVersion = {readonly basis: StreamVersionBasis} & (
  | {readonly type: 'known'; readonly softwareVersion: string}
  | {readonly type: 'unknown'}
);

/** Knows at which software versions streams begin and go on. */
export interface StreamVersionGuard {
  /** Whether a stream may begin at a version. */
  mayBegin(service: string, softwareVersion: string): boolean;
  /** Records that a stream began. */
  recordBegan(service: string, origin: StreamOrigin): void;
  /** Records that a stream reached its end, by the request that began it. */
  recordEnded(requestId: string): void;
  /** Finds out where a stream may go on, by the request that began it. */
  versionOf(service: string, requestId: string): Promise<StreamVersion>;
}

/** Remembers no streams, so that none is taken up. */
export const NO_STREAM_GUARD: StreamVersionGuard = {
  mayBegin: () => true,
  recordBegan: () => undefined,
  recordEnded: () => undefined,
  versionOf: () => Promise.resolve({type: 'unknown', basis: 'no keeper'}),
};

/**
 * Remembers at which software versions streams began. Where several versions
 * may have begun streams of a service, hosts tell keepers, chosen by the id of
 * the request, so that any host can find out where to go on.
 */
export class StreamVersions implements StreamVersionGuard {
  private readonly versions = new SoftwareVersions();
  private readonly origins = new StreamOrigins();
  private readonly records: VersionRecords;
  private readonly journal: StreamJournal;
  private readonly mixed = new Set<string>();
  private unreported: StreamOrigin[] = [];
  private reportScheduled = false;
  /** Gates of the views that show which versions there are. */
  private readonly gates: readonly ViewGate[];
  private checkedAt: Instant;
  /** When this host last began to run without standing still. */
  private runningSince: Instant;

  constructor(
    private readonly context: EntryHostContext,
    private readonly linkTo: (host: string) => PeerConnection | undefined,
    private readonly sourceOf: ViewSources = NO_VIEW_SOURCES,
  ) {
    this.checkedAt = context.clock.now();
    this.runningSince = this.checkedAt;
    this.gates = (['records', 'servers'] as const).map((kind) =>
      createStrictGate(context, kind, sourceOf),
    );
    this.records = new VersionRecords(context, this.versions);
    this.journal = new StreamJournal(
      context,
      () => this.mixed.size > 0,
      (origins) => {
        this.applyOrigins(origins);
      },
    );
  }

  start(): void {
    const {timers, signal} = this.context;
    this.records.start();
    this.journal.start();
    const review = () => {
      this.review();
    };
    timers.every('streams/standstill', STANDSTILL_CHECK_MS, review, {signal});
  }

  /** Notices that this host stood still, as it is called at an interval. */
  review(): void {
    const at = this.context.clock.now();
    if (elapsedMs(this.checkedAt, at) > STANDSTILL_MS) {
      this.runningSince = at;
    }
    this.checkedAt = at;
  }

  /** Applies the latest view of the records in the store. */
  applyRecords(): void {
    this.records.applyRecords();
    this.reviewMixed();
  }

  /** Applies the latest view of the servers. */
  applyServers(): void {
    this.records.applyServers();
    this.reviewMixed();
  }

  mayBegin(service: string, softwareVersion: string): boolean {
    return this.versions.mayBegin(service, softwareVersion);
  }

  recordBegan(service: string, origin: StreamOrigin): void {
    this.origins.record(origin, this.context.clock.now());
    this.journal.recordBegan(origin);
    if (this.mixed.has(service)) {
      this.report([origin]);
    }
  }

  recordEnded(requestId: string): void {
    this.journal.recordEnded(requestId);
  }

  async versionOf(service: string, requestId: string): Promise<StreamVersion> {
    const own = this.origins.get(requestId);
    if (own !== undefined) {
      return {type: 'known', softwareVersion: own, basis: 'remembered'};
    }
    const hadOneVersion = this.soleVersion(service) !== undefined;
    const confirmed = hadOneVersion && (await this.knowsAllVersions());
    const sole = confirmed ? this.soleVersion(service) : undefined;
    if (sole !== undefined) {
      // Others may join before the stream goes on.
      return {type: 'known', softwareVersion: sole, basis: 'one version'};
    }
    await this.journal.load();
    const softwareVersion =
      this.origins.get(requestId) ?? (await this.queryKeepers(requestId));
    if (softwareVersion !== undefined) {
      return {type: 'known', softwareVersion, basis: 'keeper'};
    }
    const unconfirmed = hadOneVersion && !confirmed;
    return {
      type: 'unknown',
      basis: unconfirmed ? 'views not confirmed' : 'no keeper',
    };
  }

  /** Applies what another host reports. */
  applyOrigins(origins: readonly StreamOrigin[]): void {
    for (const origin of origins) {
      this.origins.record(origin, this.context.clock.now());
    }
  }

  /** Returns where a stream began, for another host. */
  originOf(requestId: string): string | undefined {
    return this.origins.get(requestId);
  }

  /** The version at which all streams of a service began, if there is one. */
  private soleVersion(service: string): string | undefined {
    const {clock} = this.context;
    const [first, ...others] = this.versions.possible(service, clock.now());
    return others.length === 0 ? first : undefined;
  }

  /**
   * Whether there can be no version that this host doesn't know: a read that
   * began after the question shows all, since a stream begins only at a version
   * on record or, before there is a record, at one that serves. While nobody
   * can read the store, most hosts have to know of no other.
   */
  private async knowsAllVersions(): Promise<boolean> {
    const since = this.context.clock.now();
    const confirmed = await Promise.all(
      this.gates.map((gate) => gate.confirm(since)),
    );
    return confirmed.every(Boolean) || this.sharesViews();
  }

  /** Whether this host has the newest views of most hosts in an outage. */
  private sharesViews(): boolean {
    const {views, clock, membership} = this.context;
    this.review();
    const runningMs = elapsedMs(this.runningSince, clock.now());
    const failingMs = this.sourceOf('records').failingMs();
    const items = views.get('records')?.snapshot.items ?? [];
    const hosts = items.filter(({name}) =>
      name.startsWith(HOST_RECORDS),
    ).length;
    return (
      Math.min(runningMs, failingMs) >= SHARED_VIEWS_MS &&
      membership.live().length * 2 > hosts
    );
  }

  /** Tells keepers of all recent streams once a service has two versions. */
  private reviewMixed(): void {
    for (const service of this.versions.services()) {
      const several =
        this.versions.possible(service, this.context.clock.now()).size > 1;
      if (several && !this.mixed.has(service)) {
        this.mixed.add(service);
        void this.journal.load();
        this.report(this.origins.all());
      } else if (!several) {
        this.mixed.delete(service);
      }
    }
  }

  private report(origins: readonly StreamOrigin[]): void {
    this.unreported.push(...origins);
    if (!this.reportScheduled && this.unreported.length > 0) {
      this.reportScheduled = true;
      this.context.timers.after('streams/report', REPORT_DELAY_MS, () => {
        this.reportScheduled = false;
        this.sendReports();
      });
    }
  }

  private sendReports(): void {
    const byKeeper = new Map<string, StreamOrigin[]>();
    for (const origin of this.unreported) {
      for (const host of this.keepersOf(origin.requestId)) {
        const list = byKeeper.get(host) ?? [];
        list.push(origin);
        byKeeper.set(host, list);
      }
    }
    this.unreported = [];
    for (const [host, list] of byKeeper) {
      for (let from = 0; from < list.length; from += MAXIMUM_REPORTED) {
        const part = list.slice(from, from + MAXIMUM_REPORTED);
        this.linkTo(host)?.reportStreams(part);
      }
    }
  }

  private async queryKeepers(requestId: string): Promise<string | undefined> {
    const answers = await Promise.all(
      this.keepersOf(requestId).map(async (host) =>
        this.linkTo(host)?.queryStream(requestId),
      ),
    );
    return answers.find((answer) => answer !== undefined);
  }

  private keepersOf(requestId: string): readonly string[] {
    const {membership, settings} = this.context;
    const hosts = membership.live().map(({host}) => host);
    return rankByRendezvous(requestId, hosts)
      .slice(0, KEEPERS)
      .filter((host) => host !== settings.host);
  }
}
