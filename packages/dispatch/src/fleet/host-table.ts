import {elapsedMs, hashFraction, type Instant} from '@basilworks/core';

/** The status that a host publishes to all others. */
export interface HostStatus {
  readonly host: string;
  /** Identifies one instance of its process. */
  readonly incarnation: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
  /** Whether it can serve callers. */
  readonly ready: boolean;
  /** Whether its reads of the store succeed. */
  readonly readsStore: boolean;
  /** Capacity by processor and network, thousandths of a core. */
  readonly capacity: number;
  /** Address where it relays connections to servers, if it does. */
  readonly relayAddress?: string | undefined;
  /** Whether it is cut from all servers. */
  readonly cutFromServers?: boolean | undefined;
  /**
   * Ids of the servers that other hosts reach and it does not, sorted; none if
   * it is cut from all.
   */
  readonly unreachedServers?: readonly string[] | undefined;
}

/** A versioned status, as hosts gossip it. */
export interface HostEntry extends HostStatus {
  /** Incremented by the host with each change of its status. */
  readonly version: number;
  /**
   * Whether other hosts declared the host failed at this version. A host that
   * sees itself declared failed publishes a higher version.
   */
  readonly gone: boolean;
}

/**
 * Number of partitions whose digests are compared: few enough to send with
 * every exchange, and enough to narrow a difference down to some tens of hosts.
 */
const PARTITIONS = 16;

/**
 * Age up to which changes are sent first when digests differ, milliseconds.
 */
const RECENT_CHANGE_MS = 8_000;

/**
 * One in this many responses contains whole partitions, so that tables
 * converge.
 */
const FULL_SYNC_INTERVAL = 8;

/**
 * How long a failed host is kept, so that all hosts learn of the failure,
 * milliseconds.
 */
const REMOVED_RETENTION_MS = 120_000;

/** Maximum hosts in a table, above any fleet size, against bad messages. */
const MAXIMUM_HOSTS = 8_192;

/** Maximum entries in one message, which keeps it below about 15 kB. */
const MAXIMUM_ENTRIES = 128;

interface KnownHost {
  entry: HostEntry;
  /** When this table received the entry. */
  updatedAt: Instant;
}

/**
 * All known hosts. The tables of different hosts converge by anti-entropy:
 * hosts compare digests and send only entries that differ, so that without
 * changes the size of a message doesn't depend on the number of hosts.
 */
export class HostTable {
  private readonly known = new Map<string, KnownHost>();
  private readonly partitionDigests = new Array<number>(PARTITIONS).fill(0);
  private syncCount = 0;
  /** Incremented with each change. */
  revision = 0;

  /** Merges an entry; false if it is not newer than the known one. */
  merge(entry: HostEntry, at: Instant): boolean {
    const before = this.known.get(entry.host);
    if (
      !isNewer(entry, before?.entry) ||
      (before === undefined && this.known.size >= MAXIMUM_HOSTS)
    ) {
      return false;
    }
    this.toggleDigest(before?.entry);
    this.known.set(entry.host, {entry, updatedAt: at});
    this.toggleDigest(entry);
    this.revision += 1;
    return true;
  }

  get(host: string): HostEntry | undefined {
    return this.known.get(host)?.entry;
  }

  /** When this table received the newest entry of a host. */
  updatedAt(host: string): Instant | undefined {
    return this.known.get(host)?.updatedAt;
  }

  /** Hosts that have not failed. */
  present(): readonly HostEntry[] {
    return [...this.known.values()]
      .map(({entry}) => entry)
      .filter(({gone}) => !gone);
  }

  /** Digests of the partitions; failed hosts are not included. */
  digests(): number[] {
    return [...this.partitionDigests];
  }

  /**
   * Entries of the partitions whose digests differ from those of another
   * table: the recent changes, or periodically all entries.
   */
  differences(digests: readonly number[], at: Instant): readonly HostEntry[] {
    const differingPartitions = this.partitionDigests.map(
      (digest, partition) => digest !== (digests[partition] ?? 0),
    );
    if (!differingPartitions.includes(true)) {
      return [];
    }
    const candidates = [...this.known.values()].filter(
      ({entry}) => differingPartitions[partitionOf(entry.host)],
    );
    const recent = candidates.filter(
      ({updatedAt}) => elapsedMs(updatedAt, at) < RECENT_CHANGE_MS,
    );
    this.syncCount += 1;
    const fullSync = this.syncCount % FULL_SYNC_INTERVAL === 0;
    const chosen = recent.length === 0 || fullSync ? candidates : recent;
    // Each response starts where the previous one ended.
    const start =
      chosen.length <= MAXIMUM_ENTRIES
        ? 0
        : (this.syncCount * MAXIMUM_ENTRIES) % chosen.length;
    return [...chosen.slice(start), ...chosen.slice(0, start)]
      .slice(0, MAXIMUM_ENTRIES)
      .map(({entry}) => entry);
  }

  remove(host: string): void {
    const before = this.known.get(host);
    if (before !== undefined) {
      this.toggleDigest(before.entry);
      this.known.delete(host);
      this.revision += 1;
    }
  }

  /** Removes hosts that failed long ago. */
  expire(at: Instant): void {
    for (const [host, {entry, updatedAt}] of this.known) {
      if (entry.gone && elapsedMs(updatedAt, at) > REMOVED_RETENTION_MS) {
        this.remove(host);
      }
    }
  }

  /** Adds an entry to the digest of its partition, or removes it again. */
  private toggleDigest(entry: HostEntry | undefined): void {
    if (entry !== undefined && !entry.gone) {
      const partition = partitionOf(entry.host);
      const digest = this.partitionDigests[partition] ?? 0;
      this.partitionDigests[partition] = (digest ^ entryHash(entry)) >>> 0;
    }
  }
}

/** Whether an entry is newer; at the same version, a failure is final. */
const isNewer = (entry: HostEntry, known: HostEntry | undefined): boolean =>
  known === undefined ||
  entry.version > known.version ||
  (entry.version === known.version && entry.gone && !known.gone);

const HASH_RANGE = 2 ** 32;

const partitionOf = (host: string): number =>
  Math.floor(hashFraction(`part\n${host}`) * PARTITIONS);

const entryHash = ({host, version}: HostEntry): number =>
  Math.floor(hashFraction(`${host}\n${version}`) * HASH_RANGE) >>> 0;
