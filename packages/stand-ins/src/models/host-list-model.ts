import type {
  EntryHost,
  HostId,
  HostList,
  ServerDescription,
  ServerId,
} from '@basilworks/core';

import type {Scheduler} from './scheduler.js';

/** The platform's host list: each change becomes visible after the lag. */
export class HostListModel {
  private current: HostList = {version: 1, entryHosts: [], servers: []};
  private visible: HostList = this.current;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly lagMs: number,
  ) {}

  /** The list as a reader gets it now. */
  read(): HostList {
    return this.visible;
  }

  /** The list with the changes that are not visible yet. */
  latest(): HostList {
    return this.current;
  }

  /** Adds an entry host, or replaces the one of the same name. */
  putHost(host: EntryHost): void {
    const others = this.current.entryHosts.filter((h) => h.host !== host.host);
    this.change({entryHosts: [...others, host]});
  }

  /** Adds a server, or replaces the one of the same name. */
  putServer(server: ServerDescription): void {
    const others = this.current.servers.filter(
      (s) => s.server !== server.server,
    );
    this.change({servers: [...others, server]});
  }

  setHostState(host: HostId, state: EntryHost['state']): void {
    this.change({
      entryHosts: this.current.entryHosts.map((entry) =>
        entry.host === host ? {...entry, state} : entry,
      ),
    });
  }

  setServerState(server: ServerId, state: ServerDescription['state']): void {
    this.change({
      servers: this.current.servers.map((entry) =>
        entry.server === server ? {...entry, state} : entry,
      ),
    });
  }

  removeHost(host: HostId): void {
    this.change({
      entryHosts: this.current.entryHosts.filter((h) => h.host !== host),
    });
  }

  removeServer(server: ServerId): void {
    this.change({
      servers: this.current.servers.filter((s) => s.server !== server),
    });
  }

  private change(part: Partial<Omit<HostList, 'version'>>): void {
    const list = {...this.current, ...part, version: this.current.version + 1};
    this.current = list;
    if (this.lagMs === 0) {
      this.visible = list;
      return;
    }
    this.scheduler.schedule(this.lagMs, () => {
      this.visible = list;
    });
  }
}
