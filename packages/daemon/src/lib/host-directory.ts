import type {
  EntryHost,
  HostId,
  HostList,
  ServerDescription,
  ServerId,
} from '@basilworks/core';

/** How long the address of an entry that left the host list is kept. */
const ABSENT_RETENTION_MS = 600_000;

interface Entry<Value> {
  value: Value;
  lastListedMs: number;
}

/**
 * Addresses by name, from the host lists read so far. What left the list stays
 * reachable for a while, for streams and handovers that are under way; who
 * gets new work is decided by the reducer alone.
 */
export class HostDirectory {
  private readonly hosts = new Map<HostId, Entry<EntryHost>>();
  private readonly servers = new Map<ServerId, Entry<ServerDescription>>();

  /** Takes over a host list that was read at `nowMs` of the monotonic clock. */
  update(list: HostList, nowMs: number): void {
    for (const value of list.entryHosts) {
      this.hosts.set(value.host, {value, lastListedMs: nowMs});
    }
    for (const value of list.servers) {
      this.servers.set(value.server, {value, lastListedMs: nowMs});
    }
    forget(this.hosts, nowMs);
    forget(this.servers, nowMs);
  }

  host(host: HostId): EntryHost | undefined {
    return this.hosts.get(host)?.value;
  }

  server(server: ServerId): ServerDescription | undefined {
    return this.servers.get(server)?.value;
  }
}

const forget = <Value>(
  entries: Map<string, Entry<Value>>,
  nowMs: number,
): void => {
  for (const [name, {lastListedMs}] of entries) {
    if (nowMs - lastListedMs > ABSENT_RETENTION_MS) {
      entries.delete(name);
    }
  }
};
