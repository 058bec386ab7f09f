import {elapsedMs, hashFraction, type Instant} from '@basilworks/core';

import {type HostEntry, type HostStatus, HostTable} from './host-table.js';
import {
  partitionReaderGroups,
  rankReaders,
  type ReaderGroup,
} from './reader-groups.js';

/** Consecutive exchanges without a response that make a host suspect. */
const SUSPECT_AFTER_MISSES = 2;

/**
 * Time for which a host is unreachable before it is declared failed,
 * milliseconds: two exchanges without a response.
 */
const FAILURE_DETECTION_MS = 1_500;

/** Additional hosts to monitor for each one that missed an exchange. */
const EXTRA_MONITORED = 3;

/** Stands for the servers of a host that is cut from all. */
const ALL_SERVERS = '*';

/** A group with its hosts ranked as store readers. */
interface RankedGroup extends ReaderGroup {
  readonly ranked: readonly HostStatus[];
}

/** Results of the exchanges with one host. */
interface Contact {
  lastContactAt: Instant | undefined;
  unreachableSince: Instant | undefined;
  consecutiveMisses: number;
  /** Revision of the store records that the host reported to be in use. */
  recordsRevision: number;
}

/**
 * The entry hosts that are live. Each host exchanges messages with a few
 * others, which spread the table of all hosts by gossip. There is no consensus:
 * a wrong view only costs efficiency, and a host that is wrongly declared
 * failed refutes it at a higher version.
 */
export class Membership {
  private readonly table = new HostTable();
  private readonly contacts = new Map<string, Contact>();
  /** Since when hosts have not reached servers that others reach. */
  private readonly cuts = new Map<string, ReadonlyMap<string, Instant>>();
  private version: number;
  /** When any host last contacted this one. */
  private lastContactAt: Instant | undefined;
  private ringCache: {revision: number; hosts: readonly string[]} | undefined;
  private groupsCache:
    {revision: number; groups: readonly RankedGroup[]} | undefined;
  /** Counts changes of suspicion, to invalidate the cached groups. */
  private suspicionChanges = 0;

  constructor(
    /** Returns the current status of this host. */
    private readonly describe: () => HostStatus,
    /** First version; usually above those of earlier instances. */
    firstVersion: number,
  ) {
    this.version = Math.max(1, firstVersion);
  }

  /** The entry of this host, at a new version whenever its status changes. */
  self(): HostEntry {
    const status = this.describe();
    const known = this.table.get(status.host);
    if (known !== undefined && !known.gone && isSameStatus(known, status)) {
      return known;
    }
    this.version = Math.max(this.version, (known?.version ?? 0) + 1);
    const entry = {...status, version: this.version, gone: false};
    this.table.merge(entry, EPOCH);
    return entry;
  }

  /** Records a message from a host; true if its entry is newer. */
  recordContact(
    entry: HostEntry,
    recordsRevision: number,
    at: Instant,
  ): boolean {
    this.lastContactAt = at;
    this.suspicionChanges += this.isSuspected(entry.host) ? 1 : 0;
    this.contacts.set(entry.host, {
      lastContactAt: at,
      unreachableSince: undefined,
      consecutiveMisses: 0,
      recordsRevision,
    });
    return this.applyEntry(entry, at);
  }

  /** Applies an entry relayed by another host; true if it is newer. */
  applyEntry(entry: HostEntry, at: Instant): boolean {
    const isNew = this.table.merge(entry, at);
    if (isNew) {
      this.recordCuts(entry, at);
    }
    if (isNew && entry.gone) {
      this.suspicionChanges += this.isSuspected(entry.host) ? 1 : 0;
      this.contacts.delete(entry.host);
    }
    return isNew;
  }

  /** Records that a host did not respond in time. */
  recordMiss(host: string, at: Instant): void {
    const known = this.contacts.get(host);
    this.contacts.set(host, {
      lastContactAt: known?.lastContactAt,
      unreachableSince: known?.unreachableSince ?? at,
      consecutiveMisses: (known?.consecutiveMisses ?? 0) + 1,
      recordsRevision: known?.recordsRevision ?? 0,
    });
    this.suspicionChanges += this.isSuspected(host) ? 1 : 0;
  }

  /**
   * Declares hosts failed that missed several exchanges, unless no other host
   * has been in contact since: then this host may be partitioned. Returns the
   * newly failed hosts.
   */
  detectFailures(at: Instant): readonly HostEntry[] {
    this.table.expire(at);
    const {lastContactAt} = this;
    return [...this.contacts].flatMap(([host, contact]) => {
      const entry = this.table.get(host);
      const heardOthers =
        lastContactAt !== undefined &&
        contact.unreachableSince !== undefined &&
        elapsedMs(contact.unreachableSince, lastContactAt) > 0;
      if (!isSuspect(contact) || !heardOthers || entry?.gone !== false) {
        return [];
      }
      const gone = {...entry, gone: true};
      return this.applyEntry(gone, at) ? [gone] : [];
    });
  }

  /** Live hosts, this one first. */
  live(): readonly HostEntry[] {
    const self = this.self();
    const others = this.table
      .present()
      .filter(({host}) => host !== self.host && !this.isSuspected(host));
    return [self, ...others];
  }

  isLive(host: string): boolean {
    return (
      host === this.self().host ||
      (this.table.get(host)?.gone === false && !this.isSuspected(host))
    );
  }

  /**
   * Milliseconds for which a host has been unreachable, 0 if it is live,
   * `Infinity` if it is unknown.
   */
  unreachableMs(host: string, at: Instant): number {
    const entry = this.table.get(host);
    const since = this.table.updatedAt(host);
    if (entry === undefined || since === undefined) {
      return Infinity;
    }
    if (entry.gone) {
      return elapsedMs(since, at) + FAILURE_DETECTION_MS;
    }
    const contact = this.contacts.get(host);
    return contact?.unreachableSince !== undefined && isSuspect(contact)
      ? elapsedMs(contact.unreachableSince, at)
      : 0;
  }

  /**
   * Milliseconds for which a host is known not to reach a server that others
   * reach.
   */
  cutMs(host: string, server: string, at: Instant): number {
    const {cutFromServers = false, unreachedServers = []} =
      this.status(host) ?? {};
    if (!cutFromServers && !unreachedServers.includes(server)) {
      return 0;
    }
    const cuts = this.cuts.get(host);
    const since = cuts?.get(ALL_SERVERS) ?? cuts?.get(server);
    return Math.max(1, since === undefined ? 0 : elapsedMs(since, at));
  }

  /** Remembers since when a host has not reached servers. */
  private recordCuts(
    {host, cutFromServers = false, unreachedServers = []}: HostEntry,
    at: Instant,
  ): void {
    const known = this.cuts.get(host);
    const unreached = cutFromServers ? [ALL_SERVERS] : unreachedServers;
    if (unreached.length === 0) {
      this.cuts.delete(host);
      return;
    }
    const since = (server: string) =>
      known?.get(server) ?? known?.get(ALL_SERVERS) ?? at;
    this.cuts.set(
      host,
      new Map(unreached.map((server) => [server, since(server)])),
    );
  }

  status(host: string): HostEntry | undefined {
    return host === this.self().host ? this.self() : this.table.get(host);
  }

  /** Revision of the store records that a host reported to be in use. */
  recordsRevisionOf(host: string): number {
    return this.contacts.get(host)?.recordsRevision ?? 0;
  }

  /** Whether a host missed its latest exchange, without contact since. */
  hasMissedExchange(host: string): boolean {
    return (this.contacts.get(host)?.consecutiveMisses ?? 0) > 0;
  }

  remove(host: string): void {
    this.table.remove(host);
    this.contacts.delete(host);
    this.cuts.delete(host);
  }

  /** Digests of the table, for other hosts to compare with theirs. */
  digests(): number[] {
    this.self();
    return this.table.digests();
  }

  differences(digests: readonly number[], at: Instant): readonly HostEntry[] {
    this.self();
    return this.table.differences(digests, at);
  }

  /** Incremented with each change of the table. */
  get revision(): number {
    return this.table.revision;
  }

  /**
   * The hosts that this one monitors: its next `count` successors on a hash
   * ring, so that each host is monitored by as many others, mostly from other
   * zones. For each host that missed an exchange, some more are monitored: if
   * many hosts fail at once, few remain to detect it.
   */
  monitored(count: number): readonly HostEntry[] {
    const ring = this.ring();
    const self = this.self().host;
    const start = ring.indexOf(self);
    const chosen: HostEntry[] = [];
    let wanted = count;
    for (
      let step = 1;
      step < ring.length && chosen.length < wanted;
      step += 1
    ) {
      const host = ring[(start + step) % ring.length] ?? self;
      const entry = this.table.get(host);
      if (entry?.gone === false) {
        chosen.push(entry);
        wanted += this.hasMissedExchange(host) ? EXTRA_MONITORED : 0;
      }
    }
    return chosen;
  }

  /** The hosts that share readers with this one, itself included. */
  readerGroup(): ReaderGroup {
    return this.ownGroup();
  }

  /** The hosts of this host's group that should read the store, by rank. */
  readers(count: number): readonly HostStatus[] {
    const {ranked, maximumReaders} = this.ownGroup();
    return ranked.slice(0, Math.min(count, maximumReaders));
  }

  /** Whether this host is one of `count` readers of its group. */
  isReader(count: number): boolean {
    const self = this.self().host;
    return this.readers(count).some(({host}) => host === self);
  }

  /** The first-ranked reader of each other group. */
  otherGroupLeaders(): readonly HostStatus[] {
    const own = this.ownGroup().name;
    return this.groups()
      .filter(({name}) => name !== own)
      .flatMap(({ranked}) => ranked.slice(0, 1));
  }

  private ownGroup(): RankedGroup {
    const self = this.self();
    return (
      this.groups().find(({hosts}) =>
        hosts.some(({host}) => host === self.host),
      ) ?? {name: 'alone', hosts: [self], ranked: [self], maximumReaders: 1}
    );
  }

  /** All groups, recomputed only after a change of the live hosts. */
  private groups(): readonly RankedGroup[] {
    const live = this.live();
    const revision = this.table.revision + this.suspicionChanges;
    if (this.groupsCache?.revision !== revision) {
      const groups = partitionReaderGroups(live).map((group) => ({
        ...group,
        ranked: rankReaders(group),
      }));
      this.groupsCache = {revision, groups};
    }
    return this.groupsCache.groups;
  }

  private ring(): readonly string[] {
    const self = this.self().host;
    const {revision} = this.table;
    if (this.ringCache?.revision !== revision) {
      const hosts = [
        ...new Set([self, ...this.table.present().map(({host}) => host)]),
      ];
      const positions = new Map(
        hosts.map((host) => [host, hashFraction(`ring\n${host}`)]),
      );
      const at = (host: string) => positions.get(host) ?? 0;
      hosts.sort((first, second) => at(first) - at(second));
      this.ringCache = {revision, hosts};
    }
    return this.ringCache.hosts;
  }

  private isSuspected(host: string): boolean {
    const contact = this.contacts.get(host);
    return contact !== undefined && isSuspect(contact);
  }
}

/** Receipt time of a host's own entry, whose age has no meaning. */
const EPOCH: Instant = {monotonicMs: 0, wallMs: 0};

const isSuspect = ({consecutiveMisses}: Contact): boolean =>
  consecutiveMisses >= SUSPECT_AFTER_MISSES;

const isSameStatus = (known: HostStatus, status: HostStatus): boolean =>
  known.incarnation === status.incarnation &&
  known.zone === status.zone &&
  known.peerAddress === status.peerAddress &&
  known.callerAddress === status.callerAddress &&
  known.ready === status.ready &&
  known.readsStore === status.readsStore &&
  known.capacity === status.capacity &&
  known.relayAddress === status.relayAddress &&
  (known.cutFromServers ?? false) === (status.cutFromServers ?? false) &&
  isSameList(known.unreachedServers, status.unreachedServers);

const isSameList = (
  one: readonly string[] = [],
  other: readonly string[] = [],
): boolean =>
  one.length === other.length &&
  one.every((item, index) => item === other[index]);
