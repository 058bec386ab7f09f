import {elapsedMs, type Instant} from '@basilworks/core';

import {serverRunKey, type ServerEntry} from './server-entry.js';
import {ServerEvidence} from './server-evidence.js';

/** One run of a server: what the store says and what this host has seen. */
export interface Server {
  readonly key: string;
  entry: ServerEntry;
  readonly evidence: ServerEvidence;
  /** When its entry was missed, while it may still come back. */
  missingSince: Instant | undefined;
}

/**
 * How long a server whose entry vanished around an outage of the store is kept:
 * entries of servers that live are back within two seconds of its return.
 */
const LAPSE_GRACE_MS = 2_000;

/** The upstream servers that this host knows. */
export class ServerTable {
  private readonly servers = new Map<string, Server>();
  private byService = new Map<string, Server[]>();

  /**
   * Takes over the store's entries. With `afterOutage`, entries that are
   * missing may have lapsed while the store was away and are kept for a while.
   */
  update(
    entries: readonly ServerEntry[],
    afterOutage: boolean,
    at: Instant,
  ): void {
    const present = new Set<string>();
    for (const entry of entries) {
      const key = serverRunKey(entry);
      present.add(key);
      const known = this.servers.get(key);
      if (known === undefined) {
        this.servers.set(key, {
          key,
          entry,
          evidence: new ServerEvidence(),
          missingSince: undefined,
        });
      } else {
        known.entry = entry;
        known.missingSince = undefined;
      }
    }
    const ids = new Set(entries.map(({id}) => id));
    for (const [key, server] of this.servers) {
      if (present.has(key)) {
        continue;
      }
      const replaced = ids.has(server.entry.id);
      if (afterOutage && !replaced && !server.entry.leaving) {
        server.missingSince ??= at;
      } else {
        this.servers.delete(key);
      }
    }
    this.index();
  }

  /** Forgets servers whose entries have stayed away for too long. */
  expire(at: Instant): void {
    let changed = false;
    for (const [key, {missingSince}] of this.servers) {
      if (
        missingSince !== undefined &&
        elapsedMs(missingSince, at) > LAPSE_GRACE_MS
      ) {
        this.servers.delete(key);
        changed = true;
      }
    }
    if (changed) {
      this.index();
    }
  }

  get(key: string): Server | undefined {
    return this.servers.get(key);
  }

  byId(id: string): Server | undefined {
    return this.all().find(({entry}) => entry.id === id);
  }

  /** Servers of a service that take new requests. */
  open(service: string): readonly Server[] {
    return this.byService.get(service) ?? [];
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
