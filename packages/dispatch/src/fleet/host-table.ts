import {elapsedMs, hashFraction, type Instant} from '@basilworks/core';

/** What a host tells all others about itself. */
export interface HostStatus {
  readonly host: string;
  /** Identifies one run of its process. */
  readonly incarnation: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
  /** It can serve callers. */
  readonly ready: boolean;
  /** It reads the store successfully. */
  readonly readsStore: boolean;
  /** Processor and link of its machine, thousandths of a core. */
  readonly capacity: number;
}

/** A status at a version, as it is passed from host to host. */
export interface HostEntry extends HostStatus {
  /** Grows with each change of what the host says. */
  readonly version: number;
  /**
   * Others could not reach the host at this version. A host that finds itself
   * gone speaks at a higher one.
   */
  readonly gone: boolean;
}

/**
 * Parts whose digests are compared: few enough to go with every exchange, and
 * enough that a difference is found among some tens of hosts.
 */
const PARTS = 16;

/** Changes that are passed on first where digests differ, milliseconds. */
const RECENT_MS = 8_000;

/** One in so many answers holds whole parts, so that tables become alike. */
const WHOLE_PARTS_EVERY = 8;

/** A host that is gone is kept for this long, so that all learn of it, ms. */
const GONE_RETENTION_MS = 120_000;

/** Most hosts in a table; more than any fleet has, against bad messages. */
const MAXIMUM_HOSTS = 8_192;

/** Most entries in one message, so that it stays below some 15 kB. */
const MAXIMUM_ENTRIES = 128;

interface Known {
  entry: HostEntry;
  /** When this table learned of the entry. */
  since: Instant;
}

/**
 * All hosts as far as known. Tables of different hosts become alike by
 * comparing digests and passing on what differs, so that a message at rest
 * stays as small as it is, however many hosts there are.
 */
export class HostTable {
  private readonly known = new Map<string, Known>();
  private readonly partDigests = new Array<number>(PARTS).fill(0);
  private answers = 0;
  /** Grows with each change. */
  revision = 0;

  /** Takes an entry over; false when nothing newer was learned. */
  merge(entry: HostEntry, at: Instant): boolean {
    const before = this.known.get(entry.host);
    if (
      !isNewer(entry, before?.entry) ||
      (before === undefined && this.known.size >= MAXIMUM_HOSTS)
    ) {
      return false;
    }
    this.toggle(before?.entry);
    this.known.set(entry.host, {entry, since: at});
    this.toggle(entry);
    this.revision += 1;
    return true;
  }

  get(host: string): HostEntry | undefined {
    return this.known.get(host)?.entry;
  }

  /** When this table learned of the newest entry of a host. */
  updatedAt(host: string): Instant | undefined {
    return this.known.get(host)?.since;
  }

  /** Hosts that are not gone. */
  present(): readonly HostEntry[] {
    return [...this.known.values()]
      .map(({entry}) => entry)
      .filter(({gone}) => !gone);
  }

  /** Digests of the parts of the table; hosts that are gone don't count. */
  digests(): number[] {
    return [...this.partDigests];
  }

  /**
   * Entries of the parts whose digests differ from another table's: what was
   * learned of late, or now and then all.
   */
  differences(digests: readonly number[], at: Instant): readonly HostEntry[] {
    const differing = this.partDigests.map(
      (digest, part) => digest !== (digests[part] ?? 0),
    );
    if (!differing.includes(true)) {
      return [];
    }
    const candidates = [...this.known.values()].filter(
      ({entry}) => differing[partOf(entry.host)],
    );
    const recent = candidates.filter(
      ({since}) => elapsedMs(since, at) < RECENT_MS,
    );
    this.answers += 1;
    const whole = this.answers % WHOLE_PARTS_EVERY === 0;
    const chosen = recent.length === 0 || whole ? candidates : recent;
    // Each answer begins where the one before ended.
    const start =
      chosen.length <= MAXIMUM_ENTRIES
        ? 0
        : (this.answers * MAXIMUM_ENTRIES) % chosen.length;
    return [...chosen.slice(start), ...chosen.slice(0, start)]
      .slice(0, MAXIMUM_ENTRIES)
      .map(({entry}) => entry);
  }

  remove(host: string): void {
    const before = this.known.get(host);
    if (before !== undefined) {
      this.toggle(before.entry);
      this.known.delete(host);
      this.revision += 1;
    }
  }

  /** Forgets hosts that have been gone for long. */
  expire(at: Instant): void {
    for (const [host, {entry, since}] of this.known) {
      if (entry.gone && elapsedMs(since, at) > GONE_RETENTION_MS) {
        this.remove(host);
      }
    }
  }

  /** Adds an entry to its part's digest, or takes it out again. */
  private toggle(entry: HostEntry | undefined): void {
    if (entry !== undefined && !entry.gone) {
      const part = partOf(entry.host);
      const digest = this.partDigests[part] ?? 0;
      this.partDigests[part] = (digest ^ hashOf(entry)) >>> 0;
    }
  }
}

/** Whether an entry replaces another; at one version, gone is the last word. */
const isNewer = (entry: HostEntry, known: HostEntry | undefined): boolean =>
  known === undefined ||
  entry.version > known.version ||
  (entry.version === known.version && entry.gone && !known.gone);

const WORD = 2 ** 32;

const partOf = (host: string): number =>
  Math.floor(hashFraction(`part\n${host}`) * PARTS);

const hashOf = ({host, version}: HostEntry): number =>
  Math.floor(hashFraction(`${host}\n${version}`) * WORD) >>> 0;
