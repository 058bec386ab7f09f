import {elapsedMs, type Instant} from '@basilworks/core';
import {
  decodeFleetRecord,
  type HostEntry,
  type HostStatus,
  type StoreKind,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';
import {GroupReports, type GroupReportSources} from './group-reports.js';
import {decodeHost, encodeHost} from './host-codec.js';
import type {PeerLink} from './peer-link.js';
import {
  applyServerStatus,
  encodeServerStatuses,
  requestReadWindow,
  responseReadWindow,
} from './server-status-codec.js';
import {
  applyViews,
  encodeViews,
  knownRevisions,
  SnapshotCache,
} from './view-codec.js';

/** Interval between two rounds of exchanges, milliseconds. */
export const EXCHANGE_PERIOD_MS = 500;

/** Tolerance for rounds that start early, milliseconds. */
const EARLY_TOLERANCE_MS = 50;

/**
 * Time after start-up in which an unreachable peer that isn't identified yet is
 * tried again between the rounds, milliseconds, and the interval. Hosts that
 * start together must discover each other before they can use the claims that
 * others hold.
 */
const DISCOVERY_MS = 3_000;
const DISCOVERY_RETRY_MS = 50;

/** Timeout of an exchange with such a peer, milliseconds. */
const DISCOVERY_TIMEOUT_MS = 150;

/** Store readers that each host of a group queries. */
const READERS_QUERIED = 2;

/** Hosts that each host monitors; each is monitored by as many others. */
const MONITORED_HOSTS = 2;

/** Leaders of other groups that a leader queries per round, round-robin. */
const LEADERS_QUERIED = 2;

/** Time after which an unused connection to a peer is closed, milliseconds. */
const IDLE_LINK_TIMEOUT_MS = 20_000;

/** Minimum interval between log lines on malformed statuses, milliseconds. */
const MALFORMED_STATUS_LOG_PERIOD_MS = 10_000;

/** The public interface of a link to a peer. */
export type PeerConnection = Pick<
  PeerLink,
  | 'exchange'
  | 'prepare'
  | 'permit'
  | 'quota'
  | 'release'
  | 'reportCrashes'
  | 'queryCompletions'
  | 'announceQuarantine'
  | 'reportStreams'
  | 'announceStreams'
  | 'queryStream'
  | 'isUnresponsive'
  | 'close'
>;

interface OpenLink {
  readonly connection: PeerConnection;
  usedAt: Instant;
  /** Digests of the peer's host table in its latest response. */
  digests: readonly number[] | undefined;
}

/** What other components contribute to exchanges. */
export interface ExchangeSources extends GroupReportSources {
  /** Hosts to contact in each round: a claim takeover awaits their response. */
  awaitedHosts(): readonly string[];
}

const NO_SOURCES: ExchangeSources = {
  awaitedHosts: () => [],
  issuedLoads: () => [],
};

/** A peer to exchange with, by address, as its name may be unknown yet. */
interface Target {
  readonly address: string;
  /** Undefined until the peer has identified itself. */
  readonly host: string | undefined;
  /** Whether to request its store views. */
  readonly wantsViews: boolean;
}

/**
 * Exchanges membership and store views with other entry hosts. A host queries
 * the store readers of its group for both, and monitors its successors on the
 * ring of all hosts. The leader of a group, its first reader, also queries the
 * leaders of other groups. The number and size of the messages that a host
 * sends are therefore independent of the size of the fleet.
 */
export class PeerExchange {
  private readonly links = new Map<string, OpenLink>();
  private readonly snapshots = new SnapshotCache();
  private readonly pending = new Set<string>();
  private readonly groupReports: GroupReports;
  private round = 0;
  private readersQueriedAt: Instant | undefined;
  private malformedLoggedAt: number | undefined;
  private readonly startedAt: Instant;

  constructor(
    private readonly context: EntryHostContext,
    /** Called when a view has been updated. */
    private readonly onNewer: (kind: StoreKind) => void,
    /** Opens a link to an address. */
    private readonly connect: (address: string) => PeerConnection,
    private readonly sources: ExchangeSources = NO_SOURCES,
  ) {
    this.groupReports = new GroupReports(context, sources);
    this.startedAt = context.clock.now();
  }

  start(): void {
    const {timers, signal} = this.context;
    timers.every(
      'peers/round',
      EXCHANGE_PERIOD_MS,
      () => {
        this.runRound();
      },
      {signal},
    );
    this.announce();
  }

  /** Returns the link to a host, if its address is known. */
  linkTo(host: string): PeerConnection | undefined {
    const address = this.context.membership.status(host)?.peerAddress;
    return address === undefined ? undefined : this.link(address);
  }

  /** Handles a peer's exchange request. */
  handleRequest(request: fleet.ExchangeRequest): fleet.ExchangeResponse {
    const {membership, views, clock, metrics} = this.context;
    const {sender, digests, wantsViews, recordsRevision} = request;
    const at = clock.now();
    this.recordContact(sender, recordsRevision, at);
    for (const status of request.hosts) {
      this.applyHostStatus(status, at);
    }
    if (sender !== undefined) {
      this.groupReports.applyReport(sender.host, request, at);
    }
    for (const status of request.words) {
      applyServerStatus(this.context, status, requestReadWindow(at));
    }
    const sentViews = wantsViews
      ? encodeViews(views, request, this.snapshots, at)
      : [];
    for (const {kind, items = '', deflatedItems = []} of sentViews) {
      metrics.viewBytes.inc({kind}, items.length + deflatedItems.length);
    }
    return {
      responder: encodeHost(membership.self()),
      views: sentViews,
      hosts: membership.differences(digests, at).map(encodeHost),
      recordsRevision: views.revision('records'),
      digests: membership.digests(),
      ...this.groupReports.summary(wantsViews, at),
      words: encodeServerStatuses(this.context),
    };
  }

  /** Queries the group's readers for their views, outside the rounds. */
  queryReaders(): void {
    for (const target of this.readers()) {
      void this.exchangeWith(target);
    }
  }

  /** Announces this host to the readers or, if none are known, to the seeds. */
  announce(): void {
    const readers = this.readers();
    for (const target of readers.length > 0 ? readers : this.unknownPeers()) {
      void this.exchangeWith(target);
    }
  }

  close(): void {
    for (const {connection} of this.links.values()) {
      connection.close();
    }
  }

  private runRound(): void {
    const {membership, clock} = this.context;
    this.logFailedHosts(membership.detectFailures(clock.now()));
    this.closeIdleLinks();
    if (membership.isReader(READERS_QUERIED)) {
      this.groupReports.aggregate(membership.readerGroup().name, clock.now());
    }
    const targets = [
      ...(this.shouldQueryReaders() ? this.readers() : []),
      ...this.otherTargets(),
      ...this.nextUnknownPeer(),
    ];
    const queried = new Set<string>();
    for (const target of targets) {
      if (!queried.has(target.address)) {
        queried.add(target.address);
        void this.exchangeWith(target);
      }
    }
  }

  /**
   * Whether to query the readers in this round: in every round if the group has
   * several readers (a small fleet), otherwise once a second, as views about to
   * become stale are requested outside the rounds.
   */
  private shouldQueryReaders(): boolean {
    const {membership, clock} = this.context;
    return (
      membership.readerGroup().maximumReaders > 1 ||
      this.readersQueriedAt === undefined ||
      elapsedMs(this.readersQueriedAt, clock.now()) >
        2 * EXCHANGE_PERIOD_MS - EARLY_TOLERANCE_MS
    );
  }

  /** Returns the readers of this host's group as targets. */
  private readers(): readonly Target[] {
    const {membership, settings} = this.context;
    this.readersQueriedAt = this.context.clock.now();
    return membership
      .readers(READERS_QUERIED)
      .filter(({host}) => host !== settings.host)
      .map((status) => ({...targetOf(status), wantsViews: true}));
  }

  /**
   * Returns the monitored hosts that are due, the awaited ones and, if this
   * host leads its group, leaders of other groups. Monitored hosts take turns,
   * but are all due if there are more than usual, as after a missed exchange.
   */
  private otherTargets(): readonly Target[] {
    const {membership, settings} = this.context;
    this.round += 1;
    const [leader] = membership.readers(1);
    const leads = leader?.host === settings.host;
    const awaited = this.sources
      .awaitedHosts()
      .flatMap((host) => membership.status(host) ?? []);
    const monitored = membership.monitored(MONITORED_HOSTS);
    const monitorAll = monitored.length > MONITORED_HOSTS;
    const due = monitored.filter(
      (_host, index) =>
        monitorAll || index % MONITORED_HOSTS === this.round % MONITORED_HOSTS,
    );
    return [
      ...due,
      ...awaited.filter(({host}) => host !== settings.host),
      ...(leads ? this.nextLeaders() : []),
    ].map(targetOf);
  }

  /** Returns the next leaders of other groups, round-robin. */
  private nextLeaders(): readonly HostStatus[] {
    const leaders = this.context.membership.otherGroupLeaders();
    const start = (this.round * LEADERS_QUERIED) % Math.max(1, leaders.length);
    return [...leaders, ...leaders].slice(
      start,
      start + Math.min(LEADERS_QUERIED, leaders.length),
    );
  }

  /**
   * Returns the next unidentified peer, round-robin; empty if there is none.
   */
  private nextUnknownPeer(): readonly Target[] {
    const peers = this.unknownPeers();
    const chosen = peers[this.round % Math.max(1, peers.length)];
    return chosen === undefined ? [] : [chosen];
  }

  /**
   * Returns the addresses from the settings and the store's records at which no
   * host is known.
   */
  private unknownPeers(): readonly Target[] {
    const {settings, membership, views} = this.context;
    const records = views.get('records')?.snapshot.items ?? [];
    const recorded = records.flatMap((item) => {
      const record = decodeFleetRecord(item);
      return record?.type === 'host' &&
        membership.status(record.host) === undefined
        ? [record.peerAddress]
        : [];
    });
    const known = new Set(
      membership.live().map(({peerAddress}) => peerAddress),
    );
    return [...new Set([...settings.seeds, ...recorded])]
      .filter(
        (address) => !known.has(address) && address !== settings.peerAddress,
      )
      .map((address) => ({address, host: undefined, wantsViews: true}));
  }

  private async exchangeWith(target: Target): Promise<void> {
    const {address, host, wantsViews} = target;
    const {membership, views, clock} = this.context;
    if (this.pending.has(address)) {
      return;
    }
    this.pending.add(address);
    const requestedAt = clock.now();
    const link = this.openLink(address);
    const discovering =
      host === undefined &&
      elapsedMs(this.startedAt, requestedAt) < DISCOVERY_MS;
    const request: fleet.ExchangeRequest = {
      sender: encodeHost(membership.self()),
      known: wantsViews ? knownRevisions(views) : [],
      acceptsDeflate: true,
      digests: membership.digests(),
      wantsViews,
      recordsRevision: views.revision('records'),
      hosts:
        link.digests === undefined
          ? []
          : membership.differences(link.digests, requestedAt).map(encodeHost),
      // Views are requested from readers only, so the target is a reader.
      ...this.groupReports.report(wantsViews, requestedAt),
      words: encodeServerStatuses(this.context),
    };
    const response = await link.connection.exchange(
      request,
      discovering ? DISCOVERY_TIMEOUT_MS : undefined,
    );
    this.pending.delete(address);
    const at = clock.now();
    link.digests = response?.digests;
    if (response === undefined) {
      if (host !== undefined) {
        membership.recordMiss(host, at);
      } else if (discovering) {
        this.retryDiscovery(target, link);
      }
      return;
    }
    this.recordContact(response.responder, response.recordsRevision, at);
    for (const status of response.hosts) {
      this.applyHostStatus(status, at);
    }
    this.groupReports.applySummary(host, response, requestedAt, at);
    for (const status of response.words) {
      applyServerStatus(
        this.context,
        status,
        responseReadWindow(requestedAt, at),
      );
    }
    for (const kind of applyViews(views, response.views, requestedAt, at)) {
      this.onNewer(kind);
    }
  }

  /** Tries an unidentified peer again, on a new connection. */
  private retryDiscovery(target: Target, {connection}: OpenLink): void {
    const {address} = target;
    if (this.links.get(address)?.connection === connection) {
      // Connecting to a machine that is starting may hang for a second.
      connection.close();
      this.links.delete(address);
    }
    const {timers, membership} = this.context;
    timers.after(`peers/discovery/${address}`, DISCOVERY_RETRY_MS, () => {
      const identified = membership
        .live()
        .some(({peerAddress}) => peerAddress === address);
      if (!identified) {
        void this.exchangeWith(target);
      }
    });
  }

  private recordContact(
    status: fleet.HostStatus | undefined,
    recordsRevision: number,
    at: Instant,
  ): void {
    const {membership, settings} = this.context;
    const entry = this.decode(status);
    if (entry !== undefined && entry.host !== settings.host) {
      const previous = membership.status(entry.host);
      if (membership.recordContact(entry, recordsRevision, at)) {
        this.logHostDiscovered(entry, previous);
      }
    }
  }

  private applyHostStatus(status: fleet.HostStatus, at: Instant): void {
    const {membership, settings, logger} = this.context;
    const entry = this.decode(status);
    if (entry === undefined) {
      return;
    }
    const previous = membership.status(entry.host);
    if (!membership.applyEntry(entry, at)) {
      return;
    }
    if (entry.host === settings.host) {
      logger.warn('peers consider this host failed or another instance', {
        version: entry.version,
        gone: entry.gone,
      });
    } else if (entry.gone) {
      this.logFailedHosts([entry]);
    } else {
      this.logHostDiscovered(entry, previous);
    }
  }

  /** Decodes a status; logs malformed ones at a limited rate. */
  private decode(status: fleet.HostStatus | undefined): HostEntry | undefined {
    const entry = decodeHost(
      status,
      this.context.membership.status(status?.host ?? ''),
    );
    const nowMs = this.context.clock.now().monotonicMs;
    if (
      entry === undefined &&
      nowMs - (this.malformedLoggedAt ?? -Infinity) >
        MALFORMED_STATUS_LOG_PERIOD_MS
    ) {
      this.malformedLoggedAt = nowMs;
      this.context.logger.warn('malformed host status rejected', {
        peer: status?.host,
        version: status?.version,
      });
    }
    return entry;
  }

  private logHostDiscovered(
    entry: HostEntry,
    previous: HostEntry | undefined,
  ): void {
    if (previous?.incarnation !== entry.incarnation || previous.gone) {
      const {host: peer, incarnation, zone} = entry;
      this.context.logger.info('host discovered', {peer, incarnation, zone});
    }
  }

  private logFailedHosts(failed: readonly HostEntry[]): void {
    for (const {host: peer, incarnation, version} of failed) {
      this.context.logger.info('host failed', {peer, incarnation, version});
    }
  }

  /** Closes connections unused for {@link IDLE_LINK_TIMEOUT_MS}. */
  private closeIdleLinks(): void {
    const nowMs = this.context.clock.now().monotonicMs;
    for (const [address, {connection, usedAt}] of this.links) {
      if (nowMs - usedAt.monotonicMs > IDLE_LINK_TIMEOUT_MS) {
        connection.close();
        this.links.delete(address);
      }
    }
  }

  private link(address: string): PeerConnection {
    return this.openLink(address).connection;
  }

  private openLink(address: string): OpenLink {
    const usedAt = this.context.clock.now();
    const known = this.links.get(address);
    if (known !== undefined) {
      known.usedAt = usedAt;
      return known;
    }
    const connection = this.connect(address);
    const link: OpenLink = {connection, usedAt, digests: undefined};
    this.links.set(address, link);
    return link;
  }
}

const targetOf = ({
  host,
  peerAddress,
}: Pick<HostEntry, 'host' | 'peerAddress'>): Target => ({
  address: peerAddress,
  host,
  wantsViews: false,
});
