import {elapsedMs, type Instant} from '@basilworks/core';

import {serverInstanceKey, type ServerEntry} from './server-entry.js';
import {ServerHealth} from './server-health.js';
import {ServerNotices} from './server-notices.js';

/** An entry of the store and the revision of its last change. */
export interface RecordedEntry {
  readonly entry: ServerEntry;
  readonly revision: number;
}

/**
 * What a host goes by for a server: it takes requests, it is leaving, its entry
 * is missing but may come back, or it is not known (any more).
 */
export type ServerState = 'open' | 'leaving' | 'missing' | 'absent';

/** A server's way from one state to another. */
export interface ServerChange {
  readonly server: string;
  readonly from: ServerState;
  readonly to: ServerState;
  /** Revision of the entry that it goes by, the last one for a removed entry. */
  readonly revision: number;
}

/** One run of a server: what the store says and what this host has seen. */
export interface Server {
  readonly key: string;
  entry: ServerEntry;
  /** Revision of the entry's last change. */
  revision: number;
  readonly health: ServerHealth;
  /** What the server has said of itself. */
  readonly notices: ServerNotices;
  /**
   * Set while its entry is missing and may come back: the end of the outage in
   * which it may have lapsed.
   */
  outageEndedAt: Instant | undefined;
}

/**
 * How long after an outage of the store a missing entry is waited for,
 * milliseconds: entries of servers that live are back within two seconds.
 */
const LAPSE_GRACE_MS = 2_000;

/** The upstream servers that this host knows. */
export class ServerTable {
  private readonly servers = new Map<string, Server>();
  private byService = new Map<string, Server[]>();

  /**
   * Takes over the store's entries. Soon after an outage of the store, entries
   * that are missing may have lapsed in it and are waited for. Returns the
   * servers whose state changed.
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
      present.add(key);
      const known = this.servers.get(key);
      const from = known === undefined ? 'absent' : stateOf(known);
      const server: Server = known ?? {
        key,
        entry,
        revision,
        health: new ServerHealth(),
        notices: new ServerNotices(),
        outageEndedAt: undefined,
      };
      server.entry = entry;
      server.revision = revision;
      server.outageEndedAt = undefined;
      this.servers.set(key, server);
      note(changes, server, from, stateOf(server));
    }
    const waitsFor = outageEndedAt !== undefined && !isOver(outageEndedAt, at);
    const ids = new Set(entries.map(({entry}) => entry.id));
    for (const [key, server] of this.servers) {
      if (present.has(key)) {
        continue;
      }
      const from = stateOf(server);
      const replaced = ids.has(server.entry.id);
      if (waitsFor && !replaced && !server.entry.leaving) {
        server.outageEndedAt = outageEndedAt;
        note(changes, server, from, 'missing');
      } else {
        this.servers.delete(key);
        note(changes, server, from, 'absent');
      }
    }
    this.index();
    return changes;
  }

  /**
   * Forgets servers whose entries have stayed away for too long. Returns the
   * servers whose state changed.
   */
  expire(at: Instant): readonly ServerChange[] {
    const changes: ServerChange[] = [];
    for (const [key, server] of this.servers) {
      if (
        server.outageEndedAt !== undefined &&
        isOver(server.outageEndedAt, at)
      ) {
        this.servers.delete(key);
        note(changes, server, 'missing', 'absent');
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

  /** Servers of a service that take new requests from this host. */
  open(service: string, at: Instant): readonly Server[] {
    const listed = this.byService.get(service) ?? [];
    return listed.filter(({notices}) => !notices.refuses(at));
  }

  /** Whether a run of a server is known and takes requests from this host. */
  isOpen({key}: Server, at: Instant): boolean {
    const known = this.servers.get(key);
    return known?.entry.leaving === false && !known.notices.refuses(at);
  }

  /** When the first server that asked for a pause is back, milliseconds. */
  shortestPauseMs(service: string, at: Instant): number | undefined {
    const pauses = (this.byService.get(service) ?? [])
      .filter(({notices}) => !notices.leaving)
      .map(({notices}) => notices.pauseLeftMs(at));
    return pauses.length === 0 ? undefined : Math.min(...pauses);
  }

  all(): readonly Server[] {
    return [...this.servers.values()];
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

/** Whether lapsed entries should be back after an outage. */
const isOver = (outageEndedAt: Instant, at: Instant): boolean =>
  elapsedMs(outageEndedAt, at) > LAPSE_GRACE_MS;

const stateOf = ({entry, outageEndedAt}: Server): ServerState =>
  entry.leaving ? 'leaving' : outageEndedAt === undefined ? 'open' : 'missing';

const note = (
  changes: ServerChange[],
  {entry, revision}: Server,
  from: ServerState,
  to: ServerState,
): void => {
  if (from !== to) {
    changes.push({server: entry.id, from, to, revision});
  }
};
