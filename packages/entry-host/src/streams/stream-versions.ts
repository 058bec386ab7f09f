import {elapsedMs, type Instant} from '@basilworks/core';
import {
  hostRecordName,
  SoftwareVersions,
  type StoreKind,
  STREAM_RETENTION_MS,
  type StreamAnswer,
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
import {StreamKeepers} from './stream-keepers.js';
import {VersionRecords} from './version-records.js';

/**
 * Time for which streams begin at the default version only after keepers didn't
 * acknowledge one, milliseconds.
 */
const UNACKNOWLEDGED_MS = 1_000;

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
  | 'remembered'
  | 'one version'
  | 'keeper'
  | 'default'
  | 'journal'
  | 'not named'
  | 'views not confirmed'
  | 'no keeper';

/** The version at which a stream may go on. */
export type StreamVersion = {readonly basis: StreamVersionBasis} & (
  | {readonly type: 'known'; readonly softwareVersion: string}
  | {readonly type: 'unknown'}
);

/**
 * How other hosts were told of a stream: they needn't be, enough of them confirmed
 * it, or too few, which matters only if it could begin at the default version.
 */
export type AnnouncementOutcome =
  'needless' | 'acknowledged' | 'unacknowledged' | 'refused';

/** Knows at which software versions streams begin and go on. */
export interface StreamVersionGuard {
  /** Whether a stream may begin at a version. */
  mayBegin(service: string, softwareVersion: string): boolean;
  /**
   * Has other hosts remember where a stream is about to begin, unless that follows
   * from its version.
   *
   * @param wasAnnounced whether it was about to begin elsewhere before.
   */
  announce(
    service: string,
    origin: StreamOrigin,
    wasAnnounced: boolean,
  ): Promise<AnnouncementOutcome>;
  /**
   * Records that a stream began.
   *
   * @param wasAnnounced whether keepers were told of it before.
   */
  recordBegan(
    service: string,
    origin: StreamOrigin,
    wasAnnounced: boolean,
  ): void;
  /** Records that a stream reached its end, by the request that began it. */
  recordEnded(requestId: string): void;
  /**
   * Finds out where a stream may go on, by the request that began it, if its
   * caller names that.
   */
  versionOf(
    service: string,
    requestId: string | undefined,
  ): Promise<StreamVersion>;
}

/** Remembers no streams, so that none is taken up. */
export const NO_STREAM_GUARD: StreamVersionGuard = {
  mayBegin: () => true,
  announce: () => Promise.resolve('needless'),
  recordBegan: () => undefined,
  recordEnded: () => undefined,
  versionOf: () => Promise.resolve({type: 'unknown', basis: 'no keeper'}),
};

/**
 * Remembers at which software versions streams began. Where several versions
 * may have begun streams of a service, hosts tell keepers, chosen by the id of
 * the request, so that any host can find out where to go on. Streams of all
 * versions but the default begin once keepers have acknowledged them: one of
 * which no keeper was told began at the default version, whatever became of the
 * host where it did.
 */
export class StreamVersions implements StreamVersionGuard {
  private readonly versions = new SoftwareVersions();
  private readonly origins = new StreamOrigins(
    (version) =>
      this.mixed.size > 0 &&
      this.versions.isException(version, this.context.clock.now()),
  );
  private readonly records: VersionRecords;
  private readonly journal: StreamJournal;
  private readonly mixed = new Set<string>();
  private readonly keepers: StreamKeepers;
  /** Services of which this host has remembered all streams since. */
  private readonly witnessed = new Set<string>();
  private unacknowledgedAt: Instant | undefined;
  private readonly startedAt: Instant;
  /** Gates of the views that show which versions there are. */
  private readonly gates: readonly ViewGate[];
  private checkedAt: Instant;
  /** When this host last began to run without standing still. */
  private runningSince: Instant;

  constructor(
    private readonly context: EntryHostContext,
    linkTo: (host: string) => PeerConnection | undefined,
    private readonly sourceOf: ViewSources = NO_VIEW_SOURCES,
  ) {
    this.checkedAt = context.clock.now();
    this.runningSince = this.checkedAt;
    this.startedAt = this.checkedAt;
    this.keepers = new StreamKeepers(context, linkTo);
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
    this.keepers.review();
  }

  /** Applies the latest view of the records in the store. */
  applyRecords(): void {
    this.records.applyRecords();
    this.reviewServices();
  }

  /** Applies the latest view of the servers. */
  applyServers(): void {
    this.records.applyServers();
    this.reviewServices();
  }

  mayBegin(service: string, softwareVersion: string): boolean {
    return (
      this.versions.mayBegin(service, softwareVersion) &&
      (!this.isUnacknowledged ||
        !this.hasOtherDefault(service, softwareVersion))
    );
  }

  async announce(
    service: string,
    origin: StreamOrigin,
    wasAnnounced: boolean,
  ): Promise<AnnouncementOutcome> {
    const {softwareVersion} = origin;
    const isDefault = softwareVersion === this.versions.defaultOf(service);
    if (isDefault && !wasAnnounced) {
      return 'needless';
    }
    const answer = this.keepers.announce(origin);
    // After others had no answer, nobody is expected to confirm it.
    const receipt = this.isUnacknowledged ? 'too-few' : await answer;
    if (receipt === 'acknowledged') {
      return receipt;
    }
    if (receipt === 'no-answer' && !this.isUnacknowledged) {
      const {clock, logger} = this.context;
      this.unacknowledgedAt = clock.now();
      logger.info('stream not acknowledged by its keepers', {
        requestId: origin.requestId,
        service,
        softwareVersion,
      });
    }
    return this.hasOtherDefault(service, softwareVersion)
      ? 'refused'
      : 'unacknowledged';
  }

  recordBegan(
    service: string,
    origin: StreamOrigin,
    wasAnnounced: boolean,
  ): void {
    this.origins.record(origin, this.context.clock.now());
    this.journal.recordBegan(origin);
    if (this.mixed.has(service) && !wasAnnounced) {
      this.keepers.report([origin]);
    }
  }

  recordEnded(requestId: string): void {
    this.journal.recordEnded(requestId);
  }

  async versionOf(
    service: string,
    requestId: string | undefined,
  ): Promise<StreamVersion> {
    const own =
      requestId === undefined ? undefined : this.origins.get(requestId);
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
    if (requestId === undefined) {
      return {type: 'unknown', basis: 'not named'};
    }
    const kept = await this.keepers.ask(service, requestId);
    if (kept.type === 'known') {
      return {...kept, basis: 'keeper'};
    }
    const softwareVersion = this.certainDefault(service);
    if (kept.type === 'not-announced' && softwareVersion !== undefined) {
      return {type: 'known', softwareVersion, basis: 'default'};
    }
    await this.journal.load();
    const saved = this.origins.get(requestId);
    if (saved !== undefined) {
      return {type: 'known', softwareVersion: saved, basis: 'journal'};
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

  /** Returns what this host knows of a stream, for another host. */
  answer(service: string, requestId: string): StreamAnswer {
    return {
      softwareVersion: this.origins.get(requestId),
      witness: this.isWitness(service),
    };
  }

  /**
   * The version at which a stream began that no keeper acknowledged; undefined if
   * this host can't tell. The default changes only once its version has had no
   * servers for as long as a stream may go on, so that views which show some may
   * be as old as half of that.
   */
  private certainDefault(service: string): string | undefined {
    const {views, clock} = this.context;
    const at = clock.now();
    const ageMs = Math.max(
      views.ageMs('records', at),
      views.ageMs('servers', at),
    );
    const version = this.versions.defaultOf(service);
    return version !== undefined &&
      this.versions.isServing(service, version) &&
      ageMs < STREAM_RETENTION_MS / 2 &&
      this.isWitness(service) &&
      this.reachesMostHosts()
      ? version
      : undefined;
  }

  /**
   * Whether this host remembers all streams of a service that it acknowledged: it
   * has run since before any stream began at another version than the default
   * one. Callers may take a stream up at any time.
   */
  private isWitness(service: string): boolean {
    return this.origins.isComplete && this.witnessed.has(service);
  }

  /** Whether keepers didn't acknowledge a stream a short time ago. */
  private get isUnacknowledged(): boolean {
    return (
      this.unacknowledgedAt !== undefined &&
      elapsedMs(this.unacknowledgedAt, this.context.clock.now()) <
        UNACKNOWLEDGED_MS
    );
  }

  /** Whether another version is the default one and has servers. */
  private hasOtherDefault(service: string, softwareVersion: string): boolean {
    const version = this.versions.defaultOf(service);
    return (
      version !== undefined &&
      version !== softwareVersion &&
      this.versions.isServing(service, version)
    );
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
    this.review();
    const runningMs = elapsedMs(this.runningSince, this.context.clock.now());
    const failingMs = this.sourceOf('records').failingMs();
    return (
      Math.min(runningMs, failingMs) >= SHARED_VIEWS_MS &&
      this.reachesMostHosts()
    );
  }

  private reachesMostHosts(): boolean {
    const {views, membership} = this.context;
    const items = views.get('records')?.snapshot.items ?? [];
    const hosts = items.filter(({name}) =>
      name.startsWith(HOST_RECORDS),
    ).length;
    return membership.live().length * 2 > hosts;
  }

  /** Notes what the latest views show of each service. */
  private reviewServices(): void {
    for (const service of this.versions.services()) {
      this.reviewMixed(service);
      const version = this.versions.defaultOf(service);
      if (
        this.versions.hasBegunAtDefaultOnly(service) &&
        this.hasReadSinceStart('records') &&
        this.hasReadSinceStart('servers')
      ) {
        this.witnessed.add(service);
      } else if (
        version !== undefined &&
        !this.versions.isServing(service, version)
      ) {
        // Streams begin at other versions without a confirmation.
        this.witnessed.delete(service);
      }
    }
    if (this.mixed.size === 0) {
      this.origins.forgetKept();
      this.keepers.forgetLeft();
    }
  }

  /** Tells keepers of all recent streams once a service has two versions. */
  private reviewMixed(service: string): void {
    const {size} = this.versions.possible(service, this.context.clock.now());
    if (size <= 1) {
      this.mixed.delete(service);
    } else if (!this.mixed.has(service)) {
      this.mixed.add(service);
      void this.journal.load();
      this.keepers.report(this.origins.all());
    }
  }

  /** Whether a view was current at a time since this host started. */
  private hasReadSinceStart(kind: StoreKind): boolean {
    const {views, clock} = this.context;
    const at = clock.now();
    return views.ageMs(kind, at) <= elapsedMs(this.startedAt, at);
  }
}
