import {elapsedMs, hashFraction, type Instant} from '@basilworks/core';

import {type HostEntry, type HostStatus, HostTable} from './host-table.js';
import {
  rankReaders,
  type ReaderGroup,
  partitionReaderGroups,
} from './reader-groups.js';

/** Exchanges in a row without an answer after which a host is in doubt. */
const DOUBTFUL_MISSES = 2;

/**
 * Silence that comes before a host counts as gone, milliseconds: two exchanges
 * without an answer.
 */
const SILENCE_BEFORE_GONE_MS = 1_500;

/** Hosts that are watched besides for each that missed an exchange. */
const MORE_WATCHED = 3;

/** A group and its hosts in the order in which they read. */
interface RankedGroup extends ReaderGroup {
  readonly ranked: readonly HostStatus[];
}

/** Answers and misses of exchanges with one host. */
interface Contact {
  heardAt: Instant | undefined;
  missedSince: Instant | undefined;
  missesInRow: number;
  /** Revision of the records that it said it goes by. */
  recordsRevision: number;
}

/**
 * Which entry hosts live. Each host exchanges words with a few others, and the
 * table of all spreads with them. Nothing is agreed: a wrong belief costs
 * efficiency only, and a host that is taken for gone contradicts.
 */
export class Membership {
  private readonly table = new HostTable();
  private readonly contacts = new Map<string, Contact>();
  private version: number;
  /** When any host answered last. */
  private answeredAt: Instant | undefined;
  private ringOf: {revision: number; hosts: readonly string[]} | undefined;
  private groupsOf:
    {revision: number; groups: readonly RankedGroup[]} | undefined;
  /** Grows when a host comes to be in doubt, or is heard again. */
  private doubts = 0;

  constructor(
    /** What this host says of itself now. */
    private readonly describe: () => HostStatus,
    /** First version; above that of earlier runs, as a rule. */
    firstVersion: number,
  ) {
    this.version = Math.max(1, firstVersion);
  }

  /** This host, at a version that is new whenever it says something new. */
  self(): HostEntry {
    const status = this.describe();
    const known = this.table.get(status.host);
    if (known !== undefined && !known.gone && isSame(known, status)) {
      return known;
    }
    this.version = Math.max(this.version, (known?.version ?? 0) + 1);
    const entry = {...status, version: this.version, gone: false};
    this.table.merge(entry, START);
    return entry;
  }

  /** A host spoke to this one. True when it said something new. */
  recordContact(
    entry: HostEntry,
    recordsRevision: number,
    at: Instant,
  ): boolean {
    this.answeredAt = at;
    this.doubts += this.inDoubt(entry.host) ? 1 : 0;
    this.contacts.set(entry.host, {
      heardAt: at,
      missedSince: undefined,
      missesInRow: 0,
      recordsRevision,
    });
    return this.applyEntry(entry, at);
  }

  /** Another host passed an entry on. True when it is new. */
  applyEntry(entry: HostEntry, at: Instant): boolean {
    const isNew = this.table.merge(entry, at);
    if (isNew && entry.gone) {
      this.doubts += this.inDoubt(entry.host) ? 1 : 0;
      this.contacts.delete(entry.host);
    }
    return isNew;
  }

  /** A host gave no answer in time. */
  recordMiss(host: string, at: Instant): void {
    const known = this.contacts.get(host);
    this.contacts.set(host, {
      heardAt: known?.heardAt,
      missedSince: known?.missedSince ?? at,
      missesInRow: (known?.missesInRow ?? 0) + 1,
      recordsRevision: known?.recordsRevision ?? 0,
    });
    this.doubts += this.inDoubt(host) ? 1 : 0;
  }

  /**
   * Takes hosts that missed several exchanges for gone, unless no host answers:
   * then this one may be cut off. Returns those that are newly gone.
   */
  detectFailures(at: Instant): readonly HostEntry[] {
    this.table.expire(at);
    const {answeredAt} = this;
    return [...this.contacts].flatMap(([host, contact]) => {
      const entry = this.table.get(host);
      const heardOthers =
        answeredAt !== undefined &&
        contact.missedSince !== undefined &&
        elapsedMs(contact.missedSince, answeredAt) > 0;
      if (!isDoubtful(contact) || !heardOthers || entry?.gone !== false) {
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
      .filter(({host}) => host !== self.host && !this.inDoubt(host));
    return [self, ...others];
  }

  isLive(host: string): boolean {
    return (
      host === this.self().host ||
      (this.table.get(host)?.gone === false && !this.inDoubt(host))
    );
  }

  /** Milliseconds for which a host is known to be silent, 0 if it lives. */
  unreachableMs(host: string, at: Instant): number {
    const entry = this.table.get(host);
    const since = this.table.updatedAt(host);
    if (entry === undefined || since === undefined) {
      return Infinity;
    }
    if (entry.gone) {
      return elapsedMs(since, at) + SILENCE_BEFORE_GONE_MS;
    }
    const contact = this.contacts.get(host);
    return contact?.missedSince !== undefined && isDoubtful(contact)
      ? elapsedMs(contact.missedSince, at)
      : 0;
  }

  status(host: string): HostEntry | undefined {
    return host === this.self().host ? this.self() : this.table.get(host);
  }

  /** Revision of the records that a host said to this one it goes by. */
  recordsRevisionOf(host: string): number {
    return this.contacts.get(host)?.recordsRevision ?? 0;
  }

  /** Whether a host missed its latest exchange, and has not spoken since. */
  hasMissedExchange(host: string): boolean {
    return (this.contacts.get(host)?.missesInRow ?? 0) > 0;
  }

  remove(host: string): void {
    this.table.remove(host);
    this.contacts.delete(host);
  }

  /** What other hosts compare with their tables. */
  digests(): number[] {
    this.self();
    return this.table.digests();
  }

  differences(digests: readonly number[], at: Instant): readonly HostEntry[] {
    this.self();
    return this.table.differences(digests, at);
  }

  /** Grows with each change of what is known of the hosts. */
  get revision(): number {
    return this.table.revision;
  }

  /**
   * The hosts that this one watches: the next `count` on a ring of all, so that
   * each host is watched by as many, mostly from other zones. For each host
   * that missed an exchange some more are watched: where many are lost at once,
   * few are left to notice.
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
        wanted += this.hasMissedExchange(host) ? MORE_WATCHED : 0;
      }
    }
    return chosen;
  }

  /** The hosts that share readers with this one, itself included. */
  readerGroup(): ReaderGroup {
    return this.ownGroup();
  }

  /** Hosts of this host's group that should read the store, the first first. */
  readers(count: number): readonly HostStatus[] {
    const {ranked, maximumReaders} = this.ownGroup();
    return ranked.slice(0, Math.min(count, maximumReaders));
  }

  /** Whether this host is one of `count` readers of its group. */
  isReader(count: number): boolean {
    const self = this.self().host;
    return this.readers(count).some(({host}) => host === self);
  }

  /** The first readers of the other groups. */
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

  /** All groups; they are made anew only once something is known anew. */
  private groups(): readonly RankedGroup[] {
    const live = this.live();
    const revision = this.table.revision + this.doubts;
    if (this.groupsOf?.revision !== revision) {
      const groups = partitionReaderGroups(live).map((group) => ({
        ...group,
        ranked: rankReaders(group),
      }));
      this.groupsOf = {revision, groups};
    }
    return this.groupsOf.groups;
  }

  private ring(): readonly string[] {
    const self = this.self().host;
    const {revision} = this.table;
    if (this.ringOf?.revision !== revision) {
      const hosts = [
        ...new Set([self, ...this.table.present().map(({host}) => host)]),
      ];
      const place = new Map(
        hosts.map((host) => [host, hashFraction(`ring\n${host}`)]),
      );
      const at = (host: string) => place.get(host) ?? 0;
      hosts.sort((first, second) => at(first) - at(second));
      this.ringOf = {revision, hosts};
    }
    return this.ringOf.hosts;
  }

  private inDoubt(host: string): boolean {
    const contact = this.contacts.get(host);
    return contact !== undefined && isDoubtful(contact);
  }
}

/** A host's own entry has no age. */
const START: Instant = {monotonicMs: 0, wallMs: 0};

const isDoubtful = ({missesInRow}: Contact): boolean =>
  missesInRow >= DOUBTFUL_MISSES;

const isSame = (known: HostStatus, status: HostStatus): boolean =>
  known.incarnation === status.incarnation &&
  known.zone === status.zone &&
  known.peerAddress === status.peerAddress &&
  known.callerAddress === status.callerAddress &&
  known.ready === status.ready &&
  known.readsStore === status.readsStore &&
  known.capacity === status.capacity;
