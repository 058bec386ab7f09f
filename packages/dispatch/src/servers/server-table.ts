import {elapsedMs, type Instant} from '@basilworks/core';

import {type ServerEntry, serverInstanceKey} from './server-entry.js';
import {ServerHealth} from './server-health.js';
import {ServerNotices} from './server-notices.js';

/** An entry of the store and the revision of its last change. */
export interface RecordedEntry {
  readonly entry: ServerEntry;
  readonly revision: number;
}

/**
 * State of a server as a host sees it: it accepts requests, it is leaving, its
 * entry is missing but may come back, or it is unknown or removed.
 */
export type ServerState = 'open' | 'leaving' | 'missing' | 'absent';

/** Transition of a server from one state to another. */
export interface ServerChange {
  readonly server: string;
  readonly from: ServerState;
  readonly to: ServerState;
  /** Revision of the entry that caused it; the last one for a removed entry. */
  readonly revision: number;
}

/** One server instance: its entry in the store and this host's observations. */
export interface Server {
  readonly key: string;
  entry: ServerEntry;
  /** Revision of the entry's last change. */
  revision: number;
  readonly health: ServerHealth;
  /** What the server has reported about itself. */
  readonly notices: ServerNotices;
  /**
   * Set while its entry is missing and may come back: the end of the outage in
   * which it may have lapsed.
   */
  outageEndedAt: Instant | undefined;
}

/**
 * Time after an outage of the store for which missing entries are retained,
 * milliseconds: entries of live servers are back within two seconds.
 */
const LAPSE_GRACE_MS = 2_000;

/**
 * Time for which instances that left are remembered, milliseconds: a restored
 * store may show their earlier entries until they lapse.
 */
const DEPARTED_MS = 60_000;

/** The upstream servers that this host knows. */
export class ServerTable {
  private readonly servers = new Map<string, Server>();
  private byService = new Map<string, Server[]>();
  /** When instances that were leaving were removed, by key. */
  private readonly departed = new Map<string, Instant>();

  /**
   * Applies the store's entries. Soon after an outage of the store, missing
   * entries may have expired during it and are retained. Returns the servers
   * whose state changed.
   */
  update(
    entries: readonly RecordedEntry[],
    outageEndedAt: Instant | undefined,
    at: Instant,
  ): readonly ServerChange[] {
    const changes: ServerChange[] = [];
    const present = new Set<string>();
    for (const {entry, revision} of entries) {
      const key = serverInstanceKey(entry);
      const known = this.servers.get(key);
      if (known === undefined && this.hasDeparted(key, at)) {
        continue;
      }
      present.add(key);
      const from = known === undefined ? 'absent' : stateOf(known);
      const server: Server = known ?? {
        key,
        entry,
        revision,
        health: new ServerHealth(),
        notices: new ServerNotices(),
        outageEndedAt: undefined,
      };
      // An older entry, which a restored store may show, doesn't revoke it.
      const stillLeaves = isIdentified(entry) && server.entry.leaving;
      server.entry = stillLeaves ? {...entry, leaving: true} : entry;
      server.revision = revision;
      server.outageEndedAt = undefined;
      this.servers.set(key, server);
      recordChange(changes, server, from, stateOf(server));
    }
    const isGracePeriod =
      outageEndedAt !== undefined && !isGraceOver(outageEndedAt, at);
    const ids = new Set(entries.map(({entry}) => entry.id));
    for (const [key, server] of this.servers) {
      if (present.has(key)) {
        continue;
      }
      const from = stateOf(server);
      const replaced = ids.has(server.entry.id);
      if (isGracePeriod && !replaced && !server.entry.leaving) {
        server.outageEndedAt = outageEndedAt;
        recordChange(changes, server, from, 'missing');
      } else {
        this.servers.delete(key);
        if (server.entry.leaving && isIdentified(server.entry)) {
          this.departed.set(key, at);
        }
        recordChange(changes, server, from, 'absent');
      }
    }
    this.index();
    return changes;
  }

  /**
   * Removes servers whose entries have been missing for too long. Returns the
   * servers whose state changed.
   */
  expire(at: Instant): readonly ServerChange[] {
    const changes: ServerChange[] = [];
    for (const [key, server] of this.servers) {
      if (
        server.outageEndedAt !== undefined &&
        isGraceOver(server.outageEndedAt, at)
      ) {
        this.servers.delete(key);
        recordChange(changes, server, 'missing', 'absent');
      }
    }
    if (changes.length > 0) {
      this.index();
    }
    return changes;
  }

  get(key: string): Server | undefined {
    return this.servers.get(key);
  }

  byId(id: string): Server | undefined {
    return this.all().find(({entry}) => entry.id === id);
  }

  /** Returns the servers of a service that accept requests from this host. */
  open(service: string, at: Instant): readonly Server[] {
    const listed = this.byService.get(service) ?? [];
    return listed.filter(({notices}) => !notices.refuses(at));
  }

  /** Whether a server instance is known and accepts requests from this host. */
  isOpen({key}: Server, at: Instant): boolean {
    const known = this.servers.get(key);
    return known?.entry.leaving === false && !known.notices.refuses(at);
  }

  /** Shortest remaining pause of the service's servers, milliseconds. */
  shortestPauseMs(service: string, at: Instant): number | undefined {
    const pauses = (this.byService.get(service) ?? [])
      .filter(({notices}) => !notices.leaving)
      .map(({notices}) => notices.pauseLeftMs(at));
    return pauses.length === 0 ? undefined : Math.min(...pauses);
  }

  all(): readonly Server[] {
    return [...this.servers.values()];
  }

  private hasDeparted(key: string, at: Instant): boolean {
    for (const [departed, since] of this.departed) {
      if (elapsedMs(since, at) < DEPARTED_MS) {
        break;
      }
      this.departed.delete(departed);
    }
    return this.departed.has(key);
  }

  private index(): void {
    this.byService = new Map();
    for (const server of this.servers.values()) {
      if (server.entry.leaving) {
        continue;
      }
      const list = this.byService.get(server.entry.service) ?? [];
      list.push(server);
      this.byService.set(server.entry.service, list);
    }
  }
}

/** Whether the instance can be told from a later one under its id. */
const isIdentified = ({startedAtWallMs}: ServerEntry): boolean =>
  startedAtWallMs > 0;

/** Whether the grace period after an outage has ended. */
const isGraceOver = (outageEndedAt: Instant, at: Instant): boolean =>
  elapsedMs(outageEndedAt, at) > LAPSE_GRACE_MS;

const stateOf = ({entry, outageEndedAt}: Server): ServerState =>
  entry.leaving ? 'leaving' : outageEndedAt === undefined ? 'open' : 'missing';

const recordChange = (
  changes: ServerChange[],
  {entry, revision}: Server,
  from: ServerState,
  to: ServerState,
): void => {
  if (from !== to) {
    changes.push({server: entry.id, from, to, revision});
  }
};
