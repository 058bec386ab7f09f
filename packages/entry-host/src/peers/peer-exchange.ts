import {elapsedMs, type Instant} from '@basilworks/core';
import {
  type HostEntry,
  hostRecordSchema,
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
  SnapshotJsonCache,
} from './view-codec.js';

/** Between two rounds of exchanges, milliseconds. */
export const EXCHANGE_PERIOD_MS = 500;

/** By how much a round may begin early, milliseconds. */
const EARLY_MS = 50;

/** Readers of the store that every host of a group asks in each round. */
const READERS_ASKED = 2;

/** Hosts that each host watches; each is watched by as many others. */
const WATCHED = 2;

/** Leaders of other groups that a leader asks in each round, in turn. */
const LEADERS_ASKED = 2;

/** Before the peer connection of a host that is not talked to is closed, ms. */
const IDLE_LINK_MS = 20_000;

/** Between two log lines about messages that can't be used, milliseconds. */
const REFUSAL_LOG_PERIOD_MS = 10_000;

/** The part of a link that is used from outside. */
export type PeerConnection = Pick<
  PeerLink,
  | 'exchange'
  | 'prepare'
  | 'permit'
  | 'quota'
  | 'release'
  | 'isUnresponsive'
  | 'close'
>;

interface OpenLink {
  readonly connection: PeerConnection;
  usedAt: Instant;
  /** Digests of the peer's table at its latest answer. */
  digests: readonly number[] | undefined;
}

/** What other parts of the host want told or asked. */
export interface ExchangeSources extends GroupReportSources {
  /** Hosts whose own word is waited for. */
  awaitedHosts(): readonly string[];
}

const NO_SOURCES: ExchangeSources = {
  awaitedHosts: () => [],
  issuedLoads: () => [],
};

/** A peer to talk to, by its address as hosts may not be known by name yet. */
interface Target {
  readonly address: string;
  /** Undefined until it has said who it is. */
  readonly host: string | undefined;
  /** Its views are asked for. */
  readonly wantsViews: boolean;
}

/**
 * Talks to other entry hosts: who lives, and what the store holds. A host asks
 * the readers of its group for both, and watches its successors on the ring of
 * all hosts; the first reader of a group also asks those of the other groups. So
 * a host sends as many messages, of the same size, in a fleet of any size.
 */
export class PeerExchange {
  private readonly links = new Map<string, OpenLink>();
  private readonly texts = new SnapshotJsonCache();
  private readonly pending = new Set<string>();
  private readonly news: GroupReports;
  private turn = 0;
  private readersAskedAt: Instant | undefined;
  private refusalLoggedAt: number | undefined;

  constructor(
    private readonly context: EntryHostContext,
    private readonly onNewer: (kind: StoreKind) => void,
    /** Opens the link to an address. */
    private readonly connect: (address: string) => PeerConnection,
    private readonly sources: ExchangeSources = NO_SOURCES,
  ) {
    this.news = new GroupReports(context, sources);
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

  /** The link to a host, if its address is known. */
  linkTo(host: string): PeerConnection | undefined {
    const address = this.context.membership.status(host)?.peerAddress;
    return address === undefined ? undefined : this.link(address);
  }

  /** Answers a peer's exchange. */
  handleRequest(request: fleet.ExchangeRequest): fleet.ExchangeResponse {
    const {membership, views, clock} = this.context;
    const {sender, known, digests, wantsViews, recordsRevision} = request;
    const at = clock.now();
    this.heard(sender, recordsRevision, at);
    for (const status of request.hosts) {
      this.learned(status, at);
    }
    if (sender !== undefined) {
      this.news.applyReport(sender.host, request, at);
    }
    for (const word of request.words) {
      applyServerStatus(this.context, word, requestReadWindow(at));
    }
    return {
      responder: encodeHost(membership.self()),
      views: wantsViews ? encodeViews(views, known, this.texts, at) : [],
      hosts: membership.differences(digests, at).map(encodeHost),
      recordsRevision: views.revision('records'),
      digests: membership.digests(),
      ...this.news.summary(wantsViews, at),
      words: encodeServerStatuses(this.context),
    };
  }

  /** Asks the readers for their views, besides the rounds. */
  queryReaders(): void {
    for (const target of this.readers()) {
      void this.exchangeWith(target);
    }
  }

  /** Tells the readers, and where none are known the seeds, what this host is. */
  announce(): void {
    const readers = this.readers();
    for (const target of readers.length > 0 ? readers : this.strangers()) {
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
    this.logGone(membership.detectFailures(clock.now()));
    this.closeIdleLinks();
    if (membership.isReader(READERS_ASKED)) {
      this.news.aggregate(membership.readerGroup().name, clock.now());
    }
    const targets = [
      ...(this.isReadersTurn() ? this.readers() : []),
      ...this.others(),
      ...this.stranger(),
    ];
    const asked = new Set<string>();
    for (const target of targets) {
      if (!asked.has(target.address)) {
        asked.add(target.address);
        void this.exchangeWith(target);
      }
    }
  }

  /**
   * Whether the readers are asked in this round: in each one in a small fleet,
   * else once a second, as views that grow old are asked for besides.
   */
  private isReadersTurn(): boolean {
    const {membership, clock} = this.context;
    return (
      membership.readerGroup().maximumReaders > 1 ||
      this.readersAskedAt === undefined ||
      elapsedMs(this.readersAskedAt, clock.now()) >
        2 * EXCHANGE_PERIOD_MS - EARLY_MS
    );
  }

  /** The readers of this host's group. */
  private readers(): readonly Target[] {
    const {membership, settings} = this.context;
    this.readersAskedAt = this.context.clock.now();
    return membership
      .readers(READERS_ASKED)
      .filter(({host}) => host !== settings.host)
      .map((status) => ({...targetOf(status), wantsViews: true}));
  }

  /** Watched hosts, awaited ones, and the leaders of other groups for a leader. */
  private others(): readonly Target[] {
    const {membership, settings} = this.context;
    this.turn += 1;
    const [leader] = membership.readers(1);
    const leads = leader?.host === settings.host;
    const awaited = this.sources
      .awaitedHosts()
      .flatMap((host) => membership.status(host) ?? []);
    const watched = membership.monitored(WATCHED);
    const alert = watched.length > WATCHED;
    const due = watched.filter(
      (_host, index) => alert || index % WATCHED === this.turn % WATCHED,
    );
    return [
      ...due,
      ...awaited.filter(({host}) => host !== settings.host),
      ...(leads ? this.leaders() : []),
    ].map(targetOf);
  }

  /** The leaders of some other groups, in turn. */
  private leaders(): readonly HostStatus[] {
    const leaders = this.context.membership.otherGroupLeaders();
    const start = (this.turn * LEADERS_ASKED) % Math.max(1, leaders.length);
    return [...leaders, ...leaders].slice(
      start,
      start + Math.min(LEADERS_ASKED, leaders.length),
    );
  }

  /** One peer in turn that has not said who it is. */
  private stranger(): readonly Target[] {
    const strangers = this.strangers();
    const chosen = strangers[this.turn % Math.max(1, strangers.length)];
    return chosen === undefined ? [] : [chosen];
  }

  /** Addresses from the settings and the store at which nobody is known. */
  private strangers(): readonly Target[] {
    const {settings, membership, views} = this.context;
    const records = views.get('records')?.snapshot.items ?? [];
    const recorded = records.flatMap(({value}) => {
      const record = hostRecordSchema.safeParse(value).data;
      return record === undefined ||
        membership.status(record.host) !== undefined
        ? []
        : [record.peerAddress];
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

  private async exchangeWith({
    address,
    host,
    wantsViews,
  }: Target): Promise<void> {
    const {membership, views, clock} = this.context;
    if (this.pending.has(address)) {
      return;
    }
    this.pending.add(address);
    const askedAt = clock.now();
    const link = this.open(address);
    const response = await link.connection.exchange({
      sender: encodeHost(membership.self()),
      known: wantsViews ? knownRevisions(views) : [],
      digests: membership.digests(),
      wantsViews,
      recordsRevision: views.revision('records'),
      hosts:
        link.digests === undefined
          ? []
          : membership.differences(link.digests, askedAt).map(encodeHost),
      // Views are asked of readers only.
      ...this.news.report(wantsViews, askedAt),
      words: encodeServerStatuses(this.context),
    });
    this.pending.delete(address);
    const at = clock.now();
    link.digests = response?.digests;
    if (response === undefined) {
      if (host !== undefined) {
        membership.recordMiss(host, at);
      }
      return;
    }
    this.heard(response.responder, response.recordsRevision, at);
    for (const status of response.hosts) {
      this.learned(status, at);
    }
    this.news.applySummary(host, response, askedAt, at);
    for (const word of response.words) {
      applyServerStatus(this.context, word, responseReadWindow(askedAt, at));
    }
    for (const kind of applyViews(views, response.views, askedAt, at)) {
      this.onNewer(kind);
    }
  }

  private heard(
    status: fleet.HostStatus | undefined,
    recordsRevision: number,
    at: Instant,
  ): void {
    const {membership, settings} = this.context;
    const entry = this.decode(status);
    if (entry !== undefined && entry.host !== settings.host) {
      const before = membership.status(entry.host);
      if (membership.recordContact(entry, recordsRevision, at)) {
        this.logHeard(entry, before);
      }
    }
  }

  private learned(status: fleet.HostStatus, at: Instant): void {
    const {membership, settings, logger} = this.context;
    const entry = this.decode(status);
    if (entry === undefined) {
      return;
    }
    const before = membership.status(entry.host);
    if (!membership.applyEntry(entry, at)) {
      return;
    }
    if (entry.host === settings.host) {
      logger.warn('taken for gone or for another run', {
        version: entry.version,
        gone: entry.gone,
      });
    } else if (entry.gone) {
      this.logGone([entry]);
    } else {
      this.logHeard(entry, before);
    }
  }

  /** Decodes a status; one that can't be used is told in the log. */
  private decode(status: fleet.HostStatus | undefined): HostEntry | undefined {
    const entry = decodeHost(
      status,
      this.context.membership.status(status?.host ?? ''),
    );
    const nowMs = this.context.clock.now().monotonicMs;
    if (
      entry === undefined &&
      nowMs - (this.refusalLoggedAt ?? -Infinity) > REFUSAL_LOG_PERIOD_MS
    ) {
      this.refusalLoggedAt = nowMs;
      this.context.logger.warn('a word on a host is refused', {
        peer: status?.host,
        version: status?.version,
      });
    }
    return entry;
  }

  private logHeard(entry: HostEntry, before: HostEntry | undefined): void {
    if (before?.incarnation !== entry.incarnation || before.gone) {
      const {host: peer, incarnation, zone} = entry;
      this.context.logger.info('host heard', {peer, incarnation, zone});
    }
  }

  private logGone(gone: readonly HostEntry[]): void {
    for (const {host: peer, incarnation, version} of gone) {
      this.context.logger.info('host gone', {peer, incarnation, version});
    }
  }

  /** Closes connections that nobody has used for long. */
  private closeIdleLinks(): void {
    const nowMs = this.context.clock.now().monotonicMs;
    for (const [address, {connection, usedAt}] of this.links) {
      if (nowMs - usedAt.monotonicMs > IDLE_LINK_MS) {
        connection.close();
        this.links.delete(address);
      }
    }
  }

  private link(address: string): PeerConnection {
    return this.open(address).connection;
  }

  private open(address: string): OpenLink {
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
