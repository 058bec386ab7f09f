import {
  type CoreState,
  type EntryHost,
  type HostId,
  type Instant,
  listedHosts,
  listedServers,
  type ServerDescription,
  type ServerId,
} from '@basilworks/core';

/** How long the address of an entry that left the host list is kept. */
const ABSENT_RETENTION_MS = 600_000;

/** What the directory reads: the loop, or a fake of it. */
export interface DirectorySource {
  readonly state: CoreState;
  now(): Instant;
}

interface Entry<Value> {
  readonly value: Value;
  /** When the list was first seen without it; undefined while listed. */
  absentSinceMs: number | undefined;
}

/**
 * Addresses by name, from the host lists that the reducer has taken, its own
 * reads and those that peers passed on. What left the list stays reachable for
 * a while, for streams and handovers that are under way; who gets new work is
 * decided by the reducer alone.
 */
export class HostDirectory {
  private readonly hosts = new Map<HostId, Entry<EntryHost>>();
  private readonly servers = new Map<ServerId, Entry<ServerDescription>>();
  private hostList: readonly EntryHost[] = [];
  private serverList: readonly ServerDescription[] = [];

  constructor(private readonly source: DirectorySource) {}

  host(host: HostId): EntryHost | undefined {
    this.refresh();
    return this.hosts.get(host)?.value;
  }

  server(server: ServerId): ServerDescription | undefined {
    this.refresh();
    return this.servers.get(server)?.value;
  }

  /** Takes over the reducer's lists where they were replaced. */
  private refresh(): void {
    const {state} = this.source;
    const hostList = listedHosts(state);
    const serverList = listedServers(state);
    if (hostList === this.hostList && serverList === this.serverList) {
      return;
    }
    this.hostList = hostList;
    this.serverList = serverList;
    const nowMs = this.source.now().monotonicMs;
    replace(this.hosts, hostList, ({host}) => host, nowMs);
    replace(this.servers, serverList, ({server}) => server, nowMs);
  }
}

const replace = <Value>(
  entries: Map<string, Entry<Value>>,
  list: readonly Value[],
  nameOf: (value: Value) => string,
  nowMs: number,
): void => {
  for (const [name, entry] of entries) {
    entry.absentSinceMs ??= nowMs;
    if (nowMs - entry.absentSinceMs > ABSENT_RETENTION_MS) {
      entries.delete(name);
    }
  }
  for (const value of list) {
    entries.set(nameOf(value), {value, absentSinceMs: undefined});
  }
};
